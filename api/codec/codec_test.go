package codec

import (
	"reflect"
	"testing"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/command"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/query"
	"lacewingturn.example/core/result"
)

// Guards against a numbered command type that cannot be encoded and decoded again:
// it could be proposed but not be read back from the log.
func TestEveryCommandSurvivesEncoding(t *testing.T) {
	for number, typ := range commandTypes {
		want := reflect.New(typ).Elem().Interface().(model.Command)
		data, err := EncodeEnvelope(model.Envelope{Actor: "a", Time: 5, Command: want})
		assert.NilError(t, err)
		got, err := DecodeEnvelope(data)
		assert.NilError(t, err, "command number %d", number)
		assert.DeepEqual(t, got.Command, want)
	}
}

// Guards against a field of a worker's report that is missing from its separate
// compact form, and against held tokens that are not in ascending order.
func TestWorkReportSurvivesEncoding(t *testing.T) {
	used := model.Resources{MilliCPU: 1, MemoryMB: 2, Accelerators: 3}
	want := model.ReportWork{
		Worker: "w", Held: []uint64{9, 4, 1 << 63, 17}, Started: []model.JobStarted{{ID: "a", Token: 4}},
		Usage: []model.JobReport{{ID: "b", Token: 5, Used: used, Checkpoint: "c1"}},
		Ended: []model.JobEnded{{ID: "c", Token: 6, Succeeded: true, Cancelled: true, Run: 7, Used: used, Reason: "r"}},
	}
	data, err := EncodeEnvelope(model.Envelope{Command: want})
	assert.NilError(t, err)
	got, err := DecodeEnvelope(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, got.Command, want)
}

// Guards against a field of a result that is missing from its separate wire form.
func TestResultSurvivesEncoding(t *testing.T) {
	for _, want := range []result.Result{{}, {
		Code: result.Conflicting, Detail: "d", Revision: 3, Value: "v", Conflict: &result.Conflict{Revision: 2, Actor: "a", Difference: []string{"x"}},
		Body: []byte("b"), Status: 200, ContentType: "c", BodyOmitted: true,
		Work: &result.Work{LeaseMs: 1, NextMs: 2, Jobs: []result.WorkAnswer{{Token: 3, Code: result.StaleToken, Asked: "stop"}}},
	}} {
		data, err := EncodeResult(want)
		assert.NilError(t, err)
		got, err := DecodeResult(data)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, want)
	}
}

// Guards against a part of the state that is lost in a snapshot: a new table must be
// added to the image by hand.
func TestStateSurvivesEncoding(t *testing.T) {
	s := model.State{}
	for i, c := range []model.Command{
		model.JoinEntry{ID: "e1", Address: "127.0.0.1:1"},
		model.AnnounceTarget{Target: model.Target{ID: "t1", Address: "127.0.0.1:2", Service: "quotes", Phase: model.TargetReady}},
	} {
		s, _ = command.Apply(s, model.Index(i+1), 1, model.Envelope{Time: 9, Command: c})
	}
	before, err := Digest(s)
	assert.NilError(t, err)
	data, err := EncodeState(s)
	assert.NilError(t, err)
	decoded, err := DecodeState(data)
	assert.NilError(t, err)
	after, err := Digest(decoded)
	assert.NilError(t, err)
	assert.Equal(t, before, after)
	assert.Equal(t, decoded.Targets.Len(), 1)
}

// FuzzDecodeEnvelope guards against a panic on malformed bytes from the network or
// the log, and against decoded envelopes that cannot be encoded again.
func FuzzDecodeEnvelope(f *testing.F) {
	data, _ := EncodeEnvelope(model.Envelope{Command: model.JoinEntry{ID: "e"}})
	f.Add(data)
	f.Add([]byte{0xa1})
	f.Fuzz(func(t *testing.T, data []byte) {
		env, err := DecodeEnvelope(data)
		if err == nil {
			_, err = EncodeEnvelope(env)
			assert.NilError(t, err)
		}
	})
}

// FuzzDecodeTraffic guards against a panic on a malformed traffic view, delta, state
// or result.
func FuzzDecodeTraffic(f *testing.F) {
	view, _ := EncodeTraffic(query.Traffic{Index: 4})
	delta, _ := EncodeDelta(query.TrafficDelta{From: 1, To: 2, Targets: query.Changes[model.TargetID, model.Target]{Removed: []model.TargetID{"t"}}})
	f.Add(view)
	f.Add(delta)
	f.Fuzz(func(t *testing.T, data []byte) {
		if v, err := DecodeTraffic(data); err == nil {
			_, err = EncodeTraffic(v)
			assert.NilError(t, err)
		}
		_, _ = DecodeDelta(data)
		_, _ = DecodeState(data)
		_, _ = DecodeResult(data)
	})
}

// Guards against entries of an earlier release that are applied by the rules of this one,
// and against entries of a later release that are applied by rules that this one has not.
func TestRulesSurviveEncoding(t *testing.T) {
	for _, rules := range []model.Rules{model.CurrentRules, model.FirstRules} {
		data, err := EncodeEnvelope(model.Envelope{Rules: rules, Command: model.Noop{}})
		assert.NilError(t, err)
		env, err := DecodeEnvelope(data)
		assert.NilError(t, err)
		assert.Equal(t, env.Rules, rules)
	}
	payload, err := encoder.Marshal(model.Noop{})
	assert.NilError(t, err)
	data, err := encoder.Marshal(envelope{Kind: 1, Payload: payload, Rules: boundedRules + 1})
	assert.NilError(t, err)
	_, err = DecodeEnvelope(data)
	assert.ErrorContains(t, err, "version 4 of the rules")
}

// Guards against an entry that a release without its bounds applies with another effect, and
// against one without bounds that it refuses.
func TestOnlyBoundedEntriesAreRefusedByEarlierReleases(t *testing.T) {
	for _, c := range []struct {
		command model.Command
		number  uint8
	}{
		{model.SubmitWorkload{}, currentRules},
		{model.SubmitWorkload{Budget: 1 << 20}, boundedRules},
		{model.CancelWorkload{}, currentRules},
		{model.CancelWorkload{InQueue: true}, boundedRules},
	} {
		data, err := EncodeEnvelope(model.Envelope{Command: c.command})
		assert.NilError(t, err)
		var w envelope
		assert.NilError(t, decoder.Unmarshal(data, &w))
		assert.Equal(t, w.Rules, c.number)
		env, err := DecodeEnvelope(data)
		assert.NilError(t, err)
		assert.DeepEqual(t, env.Command, c.command)
		assert.Equal(t, env.Rules, model.CurrentRules)
	}
}
