package codec

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/command"
	"lacewingturn.example/core/model"
)

// Guards against a snapshot and a count of memory that grow with the rounds of a scheduled
// workload: one with a round every five minutes for two months, each of which succeeds in its
// first run, has to stay below 2000 bytes in a snapshot.
func TestSnapshotDoesNotGrowWithRounds(t *testing.T) {
	const rounds = 17_280
	s := scheduled(rounds)
	empty, err := EncodeState(s)
	assert.NilError(t, err)
	assert.Assert(t, len(empty) < 2000, "%d bytes before the first round", len(empty))
	for round := range rounds - 1 {
		run := model.RunRef{Task: model.TaskRef{Workload: "00000000000000a1", Round: round}, Number: 1}
		s, _ = command.Apply(s, s.Index+1, 1, model.Envelope{Command: model.RecordProgress{Starts: []model.RunStart{{Run: run, Worker: "w@1"}}}})
		s, _ = command.Apply(s, s.Index+1, 1, model.Envelope{Command: model.RecordProgress{Ends: []model.RunEnd{{Run: run, Worker: "w@1", Outcome: model.RunDone}}}})
	}
	full, err := EncodeState(s)
	assert.NilError(t, err)
	assert.Assert(t, len(full) < 2000, "%d bytes after the last round but one", len(full))
	assert.Assert(t, s.Stored.Total < 20_000, "%d bytes of memory", s.Stored.Total)
}

func scheduled(rounds int) model.State {
	s := model.State{Clock: 1000, Catalog: &model.Catalog{
		Version: 3, Pools: []model.WorkerPool{{Name: "p"}}, Queues: []model.Queue{{Name: "q", Host: "h", Prefix: "/", Pool: "p", MaxFailures: 1000}},
	}}
	s, _ = command.Apply(s, 1, 1, model.Envelope{Command: model.SubmitWorkload{
		Host: "h", Path: "/00000000000000a1", Repeat: rounds,
		Workload: model.Workload{FirstDue: 1, Interval: 5 * time.Minute, Steps: []model.Step{{Count: 1}}},
	}})
	return s
}

// Guards against progress that a snapshot loses, against a state that differs after a snapshot,
// and against one in the form of the releases before that is read otherwise: random runs of
// several steps, rounds and gangs.
func TestProgressSurvivesBothForms(t *testing.T) {
	for seed := range uint64(40) {
		s := randomProgress(rand.New(rand.NewPCG(seed, 0)))
		digest, err := Digest(s)
		assert.NilError(t, err)
		data, err := EncodeState(s)
		assert.NilError(t, err)
		full, err := encodeFull(s)
		assert.NilError(t, err)
		for name, form := range map[string][]byte{"present": data, "earlier": full} {
			got, err := DecodeState(form)
			assert.NilError(t, err)
			after, err := Digest(got)
			assert.NilError(t, err)
			assert.Equal(t, after, digest, "%s form, seed %d", name, seed)
			assert.Equal(t, got.Stored.Total, s.Stored.Total, "%s form, seed %d", name, seed)
			again, err := EncodeState(got)
			assert.NilError(t, err)
			assert.DeepEqual(t, again, data)
		}
	}
}

func randomProgress(rng *rand.Rand) model.State {
	s := scheduled(1)
	apply := func(c model.Command) { s, _ = command.Apply(s, s.Index+1, 1, model.Envelope{Command: c}) }
	ids, rounds := []model.WorkloadID{"00000000000000b0", "00000000000000b1"}, []int{1 + rng.IntN(2), 30 + rng.IntN(50)}
	counts := []int{1 + rng.IntN(70), 1 + rng.IntN(3)}
	for i, id := range ids {
		apply(model.SubmitWorkload{Host: "h", Path: "/" + string(id), Repeat: rounds[i], Workload: model.Workload{
			Steps: []model.Step{{Count: counts[0], Speculative: rng.IntN(2) == 0}, {Count: counts[1], Gang: rng.IntN(2) == 0}},
		}})
	}
	for number := 1; number < 60; number++ {
		which, step := rng.IntN(2), rng.IntN(2)
		ref := model.TaskRef{Workload: ids[which], Round: rng.IntN(rounds[which]), Step: step}
		var p model.RecordProgress
		for k := range counts[step] {
			ref.Index = k
			p.Starts = append(p.Starts, model.RunStart{Run: model.RunRef{Task: ref, Number: 1 + number*rng.IntN(2)}, Worker: "w@1"})
		}
		apply(p)
		for _, start := range p.Starts {
			if outcome := rng.IntN(5); outcome > 0 {
				end := model.RunEnd{Run: start.Run, Worker: "w@1", Outcome: model.RunOutcome(min(outcome, 3)), Checkpoint: fmt.Sprint(outcome)}
				apply(model.RecordProgress{Ends: []model.RunEnd{end}})
			}
		}
	}
	return s
}

// Guards against a damaged snapshot that ends the process.
func TestDamagedProgressIsAnError(t *testing.T) {
	for _, m := range []roundsMap{
		{Length: 0, Tasks: []int{1}}, {Length: 1 << 40, Tasks: []int{1}}, {Length: 1, Tasks: []int{-1}},
		{Length: 2, Tasks: []int{1}, Final: []int{0, 3}}, {Length: 2, Tasks: []int{1}, Final: []int{-1, 1}},
		{Length: 2, Tasks: []int{1}, Begun: []roundEntry{{Round: 2, Steps: []stepEntry{{}}}}},
		{Length: 2, Tasks: []int{1}, Begun: []roundEntry{{Round: 1}}},
		{Length: 2, Tasks: []int{1}, Begun: []roundEntry{{Round: 1, Steps: []stepEntry{{Begun: []taskEntry{{Index: 1}}}}}}},
	} {
		data, err := encoder.Marshal(m)
		assert.NilError(t, err)
		var r roundsImage
		assert.ErrorContains(t, r.UnmarshalCBOR(data), "codec:", "%+v", m)
	}
}
