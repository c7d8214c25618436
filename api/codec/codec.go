// Package codec encodes commands, results, states and deltas as CBOR. The form of
// the model types on disk and on the wire is defined only here.
package codec

import (
	"fmt"
	"hash/fnv"
	"reflect"

	"github.com/fxamacker/cbor/v2"

	"lacewingturn.example/core/model"
)

// commandTypes maps the number of a command on disk and on the wire to its type.
// Numbers are never reused.
var commandTypes = map[uint16]reflect.Type{
	1: reflect.TypeFor[model.Noop](), 2: reflect.TypeFor[model.AcceptConfig](), 3: reflect.TypeFor[model.RevertConfig](),
	4: reflect.TypeFor[model.JoinEntry](), 5: reflect.TypeFor[model.RemoveEntry](), 6: reflect.TypeFor[model.AnnounceTarget](),
	7: reflect.TypeFor[model.RemoveTarget](), 8: reflect.TypeFor[model.SetReplicas](),
	20: reflect.TypeFor[model.ClaimRequest](), 21: reflect.TypeFor[model.SettleClaim](),
	40: reflect.TypeFor[model.DrainInstance](), 41: reflect.TypeFor[model.ReturnInstance](), 42: reflect.TypeFor[model.StartMove](),
	43: reflect.TypeFor[model.UndoMove](), 44: reflect.TypeFor[model.AdvanceMove](), 45: reflect.TypeFor[model.StartWave](),
	46: reflect.TypeFor[model.SetWavePhase](), 47: reflect.TypeFor[model.TakeWaveStep](), 48: reflect.TypeFor[model.SetInstancePhase](),
	49: reflect.TypeFor[model.BeginOperation](), 50: reflect.TypeFor[model.EndOperation](),
	51: reflect.TypeFor[model.SkipWaveInstance](), 52: reflect.TypeFor[model.RemoveInstance](),
	60: reflect.TypeFor[model.SubmitJob](), 61: reflect.TypeFor[model.CancelJob](), 62: reflect.TypeFor[model.CancelJobs](),
	63: reflect.TypeFor[model.PlaceJob](), 64: reflect.TypeFor[model.JobStarted](), 65: reflect.TypeFor[model.JobReport](),
	66: reflect.TypeFor[model.JobEnded](), 67: reflect.TypeFor[model.ExpireLease](), 68: reflect.TypeFor[model.ControlJob](),
	69: reflect.TypeFor[model.ReportWork](),
	80: reflect.TypeFor[model.PublishCatalog](), 81: reflect.TypeFor[model.SubmitWorkload](), 82: reflect.TypeFor[model.CancelWorkload](),
	83: reflect.TypeFor[model.RecordProgress](), 84: reflect.TypeFor[model.OrderUpkeep](), 85: reflect.TypeFor[model.BeginUpkeep](),
	86: reflect.TypeFor[model.RecordOrders](),
}

var commandNumbers = func() map[reflect.Type]uint16 {
	m := make(map[reflect.Type]uint16, len(commandTypes))
	for n, t := range commandTypes {
		m[t] = n
	}
	return m
}()

var (
	encoder = must(cbor.CoreDetEncOptions().EncMode())
	decoder = must(cbor.DecOptions{MaxNestedLevels: 32, MaxArrayElements: 4 << 20, MaxMapPairs: 4 << 20}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// envelope is the wire form of model.Envelope.
type envelope struct {
	RequestID model.RequestID `cbor:"1,keyasint,omitempty"`
	Actor     string          `cbor:"2,keyasint,omitempty"`
	Time      model.Timestamp `cbor:"3,keyasint,omitempty"`
	Kind      uint16          `cbor:"4,keyasint"`
	Payload   cbor.RawMessage `cbor:"5,keyasint"`
	Rules     uint8           `cbor:"6,keyasint,omitempty"`
}

// currentRules is the number of model.CurrentRules on disk and on the wire. Entries of the
// releases that applied commands by model.FirstRules have no number.
const currentRules = 2

// boundedRules is the number in submissions with a budget and in cancellations that are bound to
// a queue. A release that does not know these fields refuses the entry, instead of applying it
// with another effect.
const boundedRules = 3

func encodeRules(env model.Envelope) uint8 {
	submission, _ := env.Command.(model.SubmitWorkload)
	cancellation, _ := env.Command.(model.CancelWorkload)
	switch {
	case submission.Budget > 0 || cancellation.InQueue:
		return boundedRules
	case env.Rules == model.FirstRules:
		return 0
	}
	return currentRules
}

func decodeRules(number uint8) (model.Rules, error) {
	switch number {
	case 0:
		return model.FirstRules, nil
	case currentRules, boundedRules:
		return model.CurrentRules, nil
	}
	return 0, fmt.Errorf("codec: unknown version %d of the rules", number)
}

// EncodeEnvelope returns the wire form of env, without its fingerprint. It returns an
// error if the command type has no number.
func EncodeEnvelope(env model.Envelope) ([]byte, error) {
	kind, ok := commandNumbers[reflect.TypeOf(env.Command)]
	if !ok {
		return nil, fmt.Errorf("codec: command type %T has no number", env.Command)
	}
	payload, err := encoder.Marshal(wireCommand(env.Command))
	if err != nil {
		return nil, fmt.Errorf("codec: encode %T: %w", env.Command, err)
	}
	return encoder.Marshal(envelope{RequestID: env.RequestID, Actor: env.Actor, Time: env.Time, Kind: kind, Payload: payload, Rules: encodeRules(env)})
}

// EncodeForLog returns the wire form of env and the envelope that every replica will
// decode from it. It returns an error if env cannot be encoded or decoded again, for
// example because of text that is not UTF-8: such an entry could not be read from the
// log.
func EncodeForLog(env model.Envelope) ([]byte, model.Envelope, error) {
	data, err := EncodeEnvelope(env)
	if err != nil {
		return nil, model.Envelope{}, err
	}
	decoded, err := DecodeEnvelope(data)
	return data, decoded, err
}

// DecodeEnvelope decodes the wire form of an envelope and computes its fingerprint.
// It returns an error if the data is malformed or the number of the command or of the
// rules is unknown, for example from a newer version.
func DecodeEnvelope(data []byte) (model.Envelope, error) {
	var w envelope
	if err := decoder.Unmarshal(data, &w); err != nil {
		return model.Envelope{}, fmt.Errorf("codec: decode envelope: %w", err)
	}
	t, ok := commandTypes[w.Kind]
	if !ok {
		return model.Envelope{}, fmt.Errorf("codec: unknown command number %d", w.Kind)
	}
	command, err := decodeCommand(t, w.Payload)
	if err != nil {
		return model.Envelope{}, fmt.Errorf("codec: decode command %s: %w", t.Name(), err)
	}
	rules, err := decodeRules(w.Rules)
	if err != nil {
		return model.Envelope{}, err
	}
	return model.Envelope{
		RequestID: w.RequestID, Actor: w.Actor, Time: w.Time, Rules: rules,
		Fingerprint: fingerprint(w.Payload), Command: command,
	}, nil
}

func decodeCommand(t reflect.Type, payload []byte) (model.Command, error) {
	if t == reflect.TypeFor[model.ReportWork]() {
		var r workReport
		err := decoder.Unmarshal(payload, &r)
		return r.command(), err
	}
	v := reflect.New(t)
	err := decoder.Unmarshal(payload, v.Interface())
	return v.Elem().Interface().(model.Command), err
}

func fingerprint(payload []byte) uint64 {
	h := fnv.New64a()
	h.Write(payload)
	return h.Sum64()
}
