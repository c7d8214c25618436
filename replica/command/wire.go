package command

import (
	replicav1 "lacewingturn.example/api/gen/lacewingturn/replica/v1"
	"lacewingturn.example/core/model"
	"lacewingturn.example/replica/raft"
	"lacewingturn.example/replica/storage"
)

// toWire encodes messages. It omits the sender and the receiver, which the first request of the stream names.
func toWire(messages []raft.Message) ([]*replicav1.RaftMessage, error) {
	list := make([]*replicav1.RaftMessage, len(messages))
	for i, m := range messages {
		wire := &replicav1.RaftMessage{
			Type: uint32(m.Type), Term: uint64(m.Term), Index: uint64(m.Index), LogTerm: uint64(m.LogTerm),
			Commit: uint64(m.Commit), Reject: m.Reject, RejectHint: uint64(m.Hint), Context: m.Context,
		}
		for _, e := range m.Entries {
			data, err := storage.EntryData(e)
			if err != nil {
				return nil, err
			}
			wire.Entries = append(wire.Entries, &replicav1.LogEntry{
				Index: uint64(e.Index), Term: uint64(e.Term), Kind: uint32(e.Kind), Time: int64(e.Time), Data: data,
			})
		}
		list[i] = wire
	}
	return list, nil
}

// fromWire decodes messages and the commands that their entries contain.
func fromWire(from, to model.ReplicaID, list []*replicav1.RaftMessage) ([]raft.Message, error) {
	messages := make([]raft.Message, len(list))
	for i, wire := range list {
		m := raft.Message{
			Type: raft.MessageType(wire.Type), From: from, To: to, Term: model.Term(wire.Term),
			Index: model.Index(wire.Index), LogTerm: model.Term(wire.LogTerm), Commit: model.Index(wire.Commit),
			Reject: wire.Reject, Hint: model.Index(wire.RejectHint), Context: wire.Context,
		}
		for _, e := range wire.Entries {
			kind := raft.Kind(e.Kind)
			value, err := storage.EntryValue(kind, e.Data)
			if err != nil {
				return nil, err
			}
			m.Entries = append(m.Entries, raft.Entry{
				Index: model.Index(e.Index), Term: model.Term(e.Term), Kind: kind,
				Time: model.Timestamp(e.Time), Data: e.Data, Value: value,
			})
		}
		messages[i] = m
	}
	return messages, nil
}

func toInfo(m raft.Member) *replicav1.ReplicaInfo {
	return &replicav1.ReplicaInfo{
		Id: string(m.ID), Address: m.Address, Region: m.Domain.Region, DataCenter: m.Domain.DataCenter, Rack: m.Domain.Rack,
	}
}

func fromInfo(i *replicav1.ReplicaInfo) raft.Member {
	return raft.Member{
		ID: model.ReplicaID(i.GetId()), Address: i.GetAddress(),
		Domain: model.Domain{Region: i.GetRegion(), DataCenter: i.GetDataCenter(), Rack: i.GetRack()},
	}
}
