// Package record writes the committed commands of a control replica to a file and
// replays them. A replay verifies the recorded state digests and reports the first
// index at which one differs.
package record

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/gravitational/trace"

	"lacewingturn.example/api/codec"
	"lacewingturn.example/core/command"
	"lacewingturn.example/core/model"
)

// maxLine is the maximum length of a line in bytes. A configuration of 10,000
// instances takes about 2 MB.
const maxLine = 64 << 20

// Line is one record of the file: a snapshot to start from, a committed command, or
// the digest of the state after the preceding command. Exactly one of Snapshot,
// Envelope and Digest is set. They are encoded by package codec.
type Line struct {
	Index    model.Index `json:"index"`
	Term     model.Term  `json:"term,omitempty"`
	Snapshot []byte      `json:"snapshot,omitempty"`
	Envelope []byte      `json:"envelope,omitempty"`
	Digest   string      `json:"digest,omitempty"`
}

// Writer writes records as JSON lines. It must not be used concurrently.
type Writer struct{ encoder *json.Encoder }

// NewWriter returns a Writer that writes to w.
func NewWriter(w io.Writer) *Writer { return &Writer{encoder: json.NewEncoder(w)} }

// Snapshot writes a snapshot of the state, from which a replay continues.
func (w *Writer) Snapshot(s model.State) error {
	data, err := codec.EncodeState(s)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(w.encoder.Encode(Line{Index: s.Index, Term: s.Term, Snapshot: data}))
}

// Command writes one committed command; envelope is its encoded model.Envelope.
func (w *Writer) Command(index model.Index, term model.Term, envelope []byte) error {
	return trace.Wrap(w.encoder.Encode(Line{Index: index, Term: term, Envelope: envelope}))
}

// Digest writes the digest of the state, which a replay compares with its own.
func (w *Writer) Digest(s model.State) error {
	digest, err := codec.Digest(s)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(w.encoder.Encode(Line{Index: s.Index, Digest: digest}))
}

// Outcome is the result of a replay: the number of commands applied, the number of
// digests that matched, and the index and digest of the final state.
type Outcome struct {
	Commands int         `json:"commands"`
	Checked  int         `json:"digests_checked"`
	Index    model.Index `json:"index"`
	Digest   string      `json:"digest"`
}

// Replay applies the records of r in order and compares every recorded digest. The
// error for an invalid record or a different digest is a trace.BadParameter error
// that starts with the line number. The Outcome then has only the counts, for the
// lines before it.
func Replay(r io.Reader) (Outcome, error) {
	var out Outcome
	var state model.State
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for number := 1; scanner.Scan(); number++ {
		var line Line
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			return out, trace.BadParameter("line %d: %v", number, err)
		}
		next, err := out.apply(state, line)
		if err != nil {
			return out, trace.BadParameter("line %d: %v", number, err)
		}
		state = next
	}
	if err := scanner.Err(); err != nil {
		return out, trace.Wrap(err)
	}
	digest, err := codec.Digest(state)
	out.Index, out.Digest = state.Index, digest
	return out, trace.Wrap(err)
}

func (o *Outcome) apply(s model.State, line Line) (model.State, error) {
	switch {
	case len(line.Snapshot) > 0:
		return codec.DecodeState(line.Snapshot)
	case len(line.Envelope) > 0:
		if line.Index <= s.Index {
			return s, fmt.Errorf("command index %d is not higher than the preceding index %d", line.Index, s.Index)
		}
		env, err := codec.DecodeEnvelope(line.Envelope)
		if err != nil {
			return s, err
		}
		o.Commands++
		next, _ := command.Apply(s, line.Index, line.Term, env)
		return next, nil
	case line.Digest != "":
		return s, o.compare(s, line)
	}
	return s, errors.New("record has no snapshot, envelope or digest")
}

func (o *Outcome) compare(s model.State, line Line) error {
	digest, err := codec.Digest(s)
	if err != nil {
		return err
	}
	if digest != line.Digest {
		return fmt.Errorf("index %d: state digest %s differs from the recorded digest %s", s.Index, digest, line.Digest)
	}
	o.Checked++
	return nil
}
