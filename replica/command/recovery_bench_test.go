package command

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/api/codec"
	"lacewingturn.example/core/model"
	"lacewingturn.example/node/loop"
	"lacewingturn.example/replica/raft"
	"lacewingturn.example/replica/storage"
)

// schedulerLog returns a log such as the workload scheduler produces: for each
// workload of eight tasks, one entry that submits it, one that starts its runs and
// one that ends them.
func schedulerLog(b *testing.B, entries int) []raft.Entry {
	catalog := model.Catalog{Version: 1, Document: []byte("{}"), Pools: []model.WorkerPool{{Name: "p"}}, Queues: []model.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", MaxFailures: 3}}}
	commands := []model.Command{model.PublishCatalog{Catalog: catalog}}
	const tasks = 8
	for w := 0; len(commands) < entries; w++ {
		id := fmt.Sprintf("%016x", w)
		commands = append(commands, model.SubmitWorkload{
			Host: "h", Path: "/q/" + id, Workload: model.Workload{Payload: "payload", Steps: []model.Step{{Count: tasks, Need: model.Resources{MilliCPU: 1000}}}},
		})
		start, end := model.RecordProgress{}, model.RecordProgress{}
		for i := range tasks {
			run := model.RunRef{Task: model.TaskRef{Workload: model.WorkloadID(id), Index: i}, Number: 1}
			worker := model.WorkerID(fmt.Sprintf("worker-%d@1", i))
			start.Starts = append(start.Starts, model.RunStart{Run: run, Worker: worker})
			end.Ends = append(end.Ends, model.RunEnd{Run: run, Worker: worker, Outcome: model.RunDone})
		}
		commands = append(commands, start, end)
	}
	var out []raft.Entry
	for i, c := range commands[:entries] {
		env := model.Envelope{Command: c}
		data, err := codec.EncodeEnvelope(env)
		assert.NilError(b, err)
		out = append(out, raft.Entry{Index: model.Index(i + 1), Term: 1, Time: model.Timestamp(i), Kind: raft.KindCommand, Data: data, Value: env})
	}
	return out
}

// BenchmarkRecovery measures the time to open a replica with a log on disk and the
// time to apply that log after it is committed.
func BenchmarkRecovery(b *testing.B) {
	for _, entries := range []int{snapshotEveryOnPlatform, defaultSnapshotEvery} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			settings := siteSettings(b, 1)[0]
			list := schedulerLog(b, entries)
			folder, err := storage.OpenFolder(settings.DataFolder)
			assert.NilError(b, err)
			store, _, err := storage.Open(folder, settings.Name, "1")
			assert.NilError(b, err)
			for i, e := range list {
				assert.NilError(b, store.Apply([]raft.Write{{Seq: uint64(i + 1), Entries: []raft.Entry{e}}}))
			}
			assert.NilError(b, store.Close())
			var opening, applying time.Duration
			for b.Loop() {
				startedAt := time.Now()
				r, err := Open(settings, loop.New(1))
				assert.NilError(b, err)
				opened := time.Now()
				r.machine.backlog = list
				for len(r.machine.backlog) > 0 {
					r.machine.Flush(opened)
				}
				opening, applying = opening+opened.Sub(startedAt), applying+time.Since(opened)
				assert.Equal(b, int(r.View().State.Index), entries)
				assert.NilError(b, r.store.Close())
			}
			b.ReportMetric(float64(opening.Milliseconds())/float64(b.N), "ms-open/op")
			b.ReportMetric(float64(applying.Milliseconds())/float64(b.N), "ms-apply/op")
		})
	}
}

// snapshotEveryOnPlatform is the number of log entries between snapshots that
// cmd/internal/instance sets on the platform.
const snapshotEveryOnPlatform = 1024
