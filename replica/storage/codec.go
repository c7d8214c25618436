package storage

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"lacewingturn.example/api/codec"
	"lacewingturn.example/core/model"
	"lacewingturn.example/replica/raft"
)

// batch is the payload of one record of a log file.
type batch struct {
	// File is set only in the first record of a file.
	File    *fileHeader `cbor:"1,keyasint,omitempty"`
	Hard    *hardState  `cbor:"2,keyasint,omitempty"`
	Entries []entry     `cbor:"3,keyasint,omitempty"`
}

// fileHeader is the log position that precedes the first entry of a log file: the
// last entry of the snapshot that the file continues.
type fileHeader struct {
	Base     model.Index `cbor:"1,keyasint"`
	BaseTerm model.Term  `cbor:"2,keyasint"`
}

type hardState struct {
	Term model.Term      `cbor:"1,keyasint"`
	Vote model.ReplicaID `cbor:"2,keyasint,omitempty"`
}

type entry struct {
	Index model.Index     `cbor:"1,keyasint"`
	Term  model.Term      `cbor:"2,keyasint"`
	Kind  raft.Kind       `cbor:"3,keyasint"`
	Time  model.Timestamp `cbor:"4,keyasint"`
	Data  []byte          `cbor:"5,keyasint,omitempty"`
}

// snapshotMeta is the payload of the first record of a snapshot file.
type snapshotMeta struct {
	Index   model.Index     `cbor:"1,keyasint"`
	Term    model.Term      `cbor:"2,keyasint"`
	Clock   model.Timestamp `cbor:"3,keyasint"`
	Members []member        `cbor:"4,keyasint"`
}

type member struct {
	ID       model.ReplicaID `cbor:"1,keyasint"`
	Address  string          `cbor:"2,keyasint"`
	Domain   model.Domain    `cbor:"3,keyasint"`
	Voter    bool            `cbor:"4,keyasint"`
	Replaces model.ReplicaID `cbor:"5,keyasint,omitempty"`
}

// EncodeMembership encodes a membership as CBOR, as used on disk and on the wire.
func EncodeMembership(m raft.Membership) ([]byte, error) { return cbor.Marshal(toMembers(m)) }

// DecodeMembership decodes the result of EncodeMembership.
func DecodeMembership(data []byte) (raft.Membership, error) {
	var list []member
	if err := cbor.Unmarshal(data, &list); err != nil {
		return nil, fmt.Errorf("storage: decode membership: %w", err)
	}
	return fromMembers(list), nil
}

func toMembers(m raft.Membership) []member {
	list := make([]member, len(m))
	for i, o := range m {
		list[i] = member(o)
	}
	return list
}

func fromMembers(list []member) raft.Membership {
	m := make(raft.Membership, len(list))
	for i, o := range list {
		m[i] = raft.Member(o)
	}
	return m
}

// EntryData returns the encoded content of the entry, as used on disk and on the
// wire.
func EntryData(e raft.Entry) ([]byte, error) {
	if e.Kind == raft.KindMembership {
		return EncodeMembership(e.Value.(raft.Membership))
	}
	return e.Data, nil
}

// EntryValue decodes the content of an entry. The result is a model.Envelope for
// a command, a raft.Membership for a membership, and nil for a no-op. An unknown
// kind is an error.
func EntryValue(kind raft.Kind, data []byte) (any, error) {
	switch kind {
	case raft.KindCommand:
		return codec.DecodeEnvelope(data)
	case raft.KindMembership:
		return DecodeMembership(data)
	case raft.KindNoop:
		return nil, nil
	}
	return nil, fmt.Errorf("storage: unknown log entry kind %d", kind)
}

func toEntries(list []raft.Entry) ([]entry, error) {
	out := make([]entry, len(list))
	for i, e := range list {
		data, err := EntryData(e)
		if err != nil {
			return nil, err
		}
		out[i] = entry{e.Index, e.Term, e.Kind, e.Time, data}
	}
	return out, nil
}

func fromEntry(e entry) (raft.Entry, error) {
	value, err := EntryValue(e.Kind, e.Data)
	if err != nil {
		return raft.Entry{}, fmt.Errorf("storage: decode log entry %d: %w", e.Index, err)
	}
	return raft.Entry{Index: e.Index, Term: e.Term, Kind: e.Kind, Time: e.Time, Data: e.Data, Value: value}, nil
}

func encodeBatch(b batch) ([]byte, error) {
	payload, err := cbor.Marshal(b)
	if err != nil {
		return nil, fmt.Errorf("storage: encode log record: %w", err)
	}
	return appendRecord(nil, payload)
}
