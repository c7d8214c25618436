package storage

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"lacewingturn.example/api/codec"
	"lacewingturn.example/core/command"
	"lacewingturn.example/core/model"
)

// The folders in testdata/release-1 were written by the release before the rules of
// commands had versions (commit 99d27c6): "log" holds 15 commands, "snapshot" the state
// after the tenth and the commands after it. digests.json has the digest of the state of
// that release after each command.
const releaseFolder = "testdata/release-1"

// The folders in testdata/release-2 were written by the release before snapshots list only tasks
// with progress (commit 9a175d8), in the same way.
const secondReleaseFolder = "testdata/release-2"

// Workloads of the second release.
const (
	scheduledWork = model.WorkloadID("00000000000000c1") // of 40 rounds, the first, second and fourth are complete, the third runs
	wideWork      = model.WorkloadID("00000000000000c3") // of 70 tasks two have failed once, all have succeeded; its second step has one copy
)

// Workloads of the folders.
const (
	halfFailedGang = model.WorkloadID("00000000000000a2") // two of four members have failed in the first run; fails after four failed runs
	failedGang     = model.WorkloadID("00000000000000a3") // has failed, by four members of one run
	checkpointed   = model.WorkloadID("00000000000000a1") // its second step was interrupted with a checkpoint
	secondStepNext = model.WorkloadID("00000000000000a4") // its first step is done
)

// readRelease opens a copy of a folder and returns the state that a replica has after it
// has applied the log. It checks the digest after each command.
func readRelease(t *testing.T, release, name string) model.State {
	t.Helper()
	path := filepath.Join(t.TempDir(), "data")
	assert.NilError(t, os.CopyFS(path, os.DirFS(filepath.Join(release, name))))
	folder, err := OpenFolder(path)
	assert.NilError(t, err)
	store, r, err := Open(WithoutStamps(folder), "r1", "a")
	assert.NilError(t, err)
	defer store.Close()
	var s model.State
	if r.State != nil {
		s, err = codec.DecodeState(r.State)
		assert.NilError(t, err)
		checkDigest(t, release, s)
	}
	for _, e := range r.Entries {
		env := e.Value.(model.Envelope)
		env.Time = e.Time
		s, _ = command.Apply(s, e.Index, e.Term, env)
		checkDigest(t, release, s)
	}
	return s
}

func checkDigest(t *testing.T, release string, s model.State) {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(release, "digests.json"))
	assert.NilError(t, err)
	var recorded []struct {
		Index  model.Index
		Digest string
	}
	assert.NilError(t, json.Unmarshal(data, &recorded))
	digest, err := codec.Digest(s)
	assert.NilError(t, err)
	assert.Equal(t, digest, recorded[s.Index-1].Digest, "after command %d", s.Index)
}

// Guards against a snapshot or a log of the last release that cannot be read, or whose
// commands have another effect than when they were applied: replicas that have taken their
// snapshots at different positions would differ after an upgrade.
func TestStateOfLastReleaseIsRead(t *testing.T) {
	for _, name := range []string{"log", "snapshot"} {
		t.Run(name, func(t *testing.T) {
			s := readRelease(t, releaseFolder, name)
			assert.Equal(t, s.Index, model.Index(15))
			assert.Equal(t, s.Workloads.Len(), 3)
			f, ok := s.Finished.Get(failedGang)
			assert.Assert(t, ok)
			assert.Equal(t, f.Phase, model.WorkloadFailed)
			assert.Equal(t, f.Reason, "task 3 of step 0 in round 0 has failed 4 times")
			w, _ := s.Workloads.Get(checkpointed)
			assert.Equal(t, w.Rounds.Step(0, 1).Tasks.At(0).Checkpoint, "00000bb87a21d94b")
		})
	}
}

// Guards against progress of scheduled, wide and gang workloads that is lost or read otherwise
// than the release that wrote each task of each round had it.
func TestProgressOfSecondReleaseIsRead(t *testing.T) {
	for _, name := range []string{"log", "snapshot"} {
		t.Run(name, func(t *testing.T) {
			s := readRelease(t, secondReleaseFolder, name)
			assert.Equal(t, s.Index, model.Index(15))
			scheduled, _ := s.Workloads.Get(scheduledWork)
			assert.Equal(t, scheduled.Rounds.Len(), 40)
			assert.Equal(t, scheduled.Rounds.Completed(), 3)
			assert.Equal(t, scheduled.Rounds.FirstUnfinished(), 2)
			wide, _ := s.Workloads.Get(wideWork)
			assert.Equal(t, wide.Rounds.Step(0, 0).Tasks.At(65).Failures, 1)
			assert.Equal(t, wide.Rounds.Done(), 71)
			assert.Equal(t, s.Assignments.Len(), 1)
		})
	}
}

// proposeHere applies a command as this release appends it to the log.
func proposeHere(t *testing.T, s model.State, c model.Command) model.State {
	t.Helper()
	_, env, err := codec.EncodeForLog(model.Envelope{Command: c})
	assert.NilError(t, err)
	env.Time = s.Clock + 1
	next, r := command.Apply(s, s.Index+1, s.Term, env)
	assert.Assert(t, r.Code.OK(), r.Detail)
	return next
}

// Guards against a gang that fails too early or too late after an upgrade, because its
// failures are counted for each member before it and for each run after it.
func TestGangOfLastReleaseFailsAfterItsAttempts(t *testing.T) {
	s := readRelease(t, releaseFolder, "snapshot")
	for number := 2; number <= 4; number++ { // with the first, which the last release has counted, these are four
		var p model.RecordProgress
		for i := range 4 {
			run := model.RunRef{Task: model.TaskRef{Workload: halfFailedGang, Index: i}, Number: number}
			p.Starts = append(p.Starts, model.RunStart{Run: run, Worker: "w2@1"})
		}
		s = proposeHere(t, s, p)
		p.Ends, p.Starts = nil, nil
		for i := range 4 {
			run := model.RunRef{Task: model.TaskRef{Workload: halfFailedGang, Index: i}, Number: number}
			p.Ends = append(p.Ends, model.RunEnd{Run: run, Worker: "w2@1", Outcome: model.RunFailed})
		}
		assert.Assert(t, s.Workloads.Has(halfFailedGang), "before the end of run %d", number)
		s = proposeHere(t, s, p)
	}
	f, ok := s.Finished.Get(halfFailedGang)
	assert.Assert(t, ok)
	assert.Equal(t, f.Phase, model.WorkloadFailed)
}

// Guards against a workload of the last release that starts nothing any more, because its
// queue gets another name after the upgrade.
func TestWorkloadOfLastReleaseKeepsItsQueue(t *testing.T) {
	for _, name := range []string{"log", "snapshot"} {
		t.Run(name, func(t *testing.T) {
			s := readRelease(t, releaseFolder, name)
			c := *s.Catalog
			c.Version++
			c.Queues = slices.Clone(c.Queues)
			for i := range c.Queues {
				c.Queues[i].Name += "-renamed"
			}
			s = proposeHere(t, s, model.PublishCatalog{Catalog: c})
			w, ok := s.Workloads.Get(secondStepNext)
			assert.Assert(t, ok)
			assert.Assert(t, w.StepReady(0, 1))
			q, ok := s.Catalog.QueueOf(w)
			assert.Assert(t, ok)
			assert.Equal(t, q.Name, model.QueueName("qb-renamed"))
		})
	}
}
