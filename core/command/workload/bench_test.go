package workload

import (
	"fmt"
	"runtime"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
)

// Guards against runs whose start or end copies all tasks of their workload or all runs of their
// worker, so that a client stops the replicas with two workloads of 20,000 small tasks: an entry
// of 250 starts and ends must not allocate more than a sixteenth of a replica's memory.
func TestCostOfARunDoesNotGrowWithItsWorkload(t *testing.T) {
	const tasks, runs, entry = 20_000, 250, replicaMemory / 16
	s := wideState(tasks, tasks)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for k := range runs {
		restart(&s, k*79%tasks, tasks)
	}
	runtime.ReadMemStats(&after)
	allocated := after.TotalAlloc - before.TotalAlloc
	t.Logf("%d bytes for the start and the end of a run", allocated/runs)
	assert.Assert(t, allocated < entry, "%d runs allocate %d MB", runs, allocated>>20)
}

// BenchmarkRun measures the start and the end of one run in workloads of different widths, on
// workers that have 20 runs each, and on one worker that has all of them.
func BenchmarkRun(b *testing.B) {
	for _, tasks := range []int{20, 2000, 20_000} {
		for _, perWorker := range slices.Compact([]int{20, tasks}) {
			b.Run(fmt.Sprintf("tasks=%d/worker=%d", tasks, perWorker), func(b *testing.B) {
				s := wideState(tasks, perWorker)
				task := 0
				b.ReportAllocs()
				for b.Loop() {
					task = (task + 7) % tasks
					restart(&s, task, perWorker)
				}
			})
		}
	}
}

// wideState returns a state with a workload all of whose tasks are running.
func wideState(tasks, perWorker int) model.State {
	s := model.State{Clock: 1000, Catalog: &model.Catalog{
		Version: 1, Pools: []model.WorkerPool{{Name: "pool"}}, Queues: []model.Queue{{Name: "q", Host: host, Prefix: prefix, Pool: "pool"}},
	}}
	Apply(&s, model.Envelope{Command: model.SubmitWorkload{Host: host, Path: prefix + string(id), Workload: model.Workload{Steps: []model.Step{{Count: tasks, Lasting: true}}}}})
	for k := range tasks {
		Apply(&s, model.Envelope{Command: model.RecordProgress{Starts: []model.RunStart{{Run: run(0, k, 1), Worker: workerOf(k, perWorker)}}}})
	}
	return s
}

func workerOf(task, perWorker int) model.WorkerID {
	return model.MakeWorkerID(fmt.Sprint(task/perWorker), 1)
}

// restart ends the run of a task and starts the next one.
func restart(s *model.State, task, perWorker int) {
	w, _ := s.Workloads.Get(id)
	number := w.Rounds.Step(0, 0).Tasks.At(task).LastRun
	worker := workerOf(task, perWorker)
	Apply(s, model.Envelope{Command: model.RecordProgress{
		Ends:   []model.RunEnd{{Run: run(0, task, number), Worker: worker, Outcome: model.RunInterrupted}},
		Starts: []model.RunStart{{Run: run(0, task, number+1), Worker: worker}},
	}})
}
