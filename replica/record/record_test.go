package record

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"lacewingturn.example/api/codec"
	"lacewingturn.example/core/command"
	"lacewingturn.example/core/model"
)

// recordedRun returns a recording of target announcements that starts from a
// snapshot in the middle of the run.
func recordedRun(t *testing.T) *bytes.Buffer {
	var out bytes.Buffer
	w := NewWriter(&out)
	var s model.State
	for i := model.Index(1); i <= 40; i++ {
		env := model.Envelope{Time: model.Timestamp(i * 10), Command: model.AnnounceTarget{Target: model.Target{
			ID: model.TargetID('a' + rune(i%7)), Generation: uint64(i), Address: "127.0.0.1:1", Service: "quotes", Phase: model.TargetReady,
		}}}
		data, err := codec.EncodeEnvelope(env)
		assert.NilError(t, err)
		s, _ = command.Apply(s, i, 1, env)
		if i == 10 {
			assert.NilError(t, w.Snapshot(s))
		}
		if i > 10 {
			assert.NilError(t, w.Command(i, 1, data))
		}
	}
	assert.NilError(t, w.Digest(s))
	return &out
}

// Guards against a nondeterministic state machine: the replay must give the recorded
// digest, so the state may depend on nothing but the inputs.
func TestReplayGivesTheRecordedDigest(t *testing.T) {
	out, err := Replay(recordedRun(t))
	assert.NilError(t, err)
	assert.Equal(t, out.Commands, 30)
	assert.Equal(t, out.Checked, 1)
	assert.Equal(t, out.Index, model.Index(40))
}

// Guards against a replay that succeeds although a command is missing, repeated or
// damaged.
func TestReplayFindsMissingAndDamagedRecords(t *testing.T) {
	lines := strings.SplitAfter(recordedRun(t).String(), "\n")
	missing := strings.Join(append(append([]string{}, lines[:20]...), lines[21:]...), "")
	missing = strings.Replace(missing, lines[30], "", 1)
	_, err := Replay(strings.NewReader(missing))
	assert.ErrorContains(t, err, "differs from the recorded digest")
	_, err = Replay(strings.NewReader(lines[0] + "{\"index\":"))
	assert.ErrorContains(t, err, "line 2")
	_, err = Replay(strings.NewReader(lines[0] + lines[1] + lines[1]))
	assert.ErrorContains(t, err, "line 3: command index 11 is not higher than the preceding index 11")
}

// Guards against a panic on a damaged record.
func FuzzReplay(f *testing.F) {
	f.Add([]byte(`{"index":1,"term":1,"envelope":"oQ=="}`))
	f.Add([]byte(`{"index":1,"digest":"00"}` + "\n" + `{"index":2,"snapshot":"oA=="}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		out, err := Replay(bytes.NewReader(data))
		assert.Assert(t, err != nil || out.Digest != "")
	})
}
