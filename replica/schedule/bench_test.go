package schedule

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"lacewingturn.example/core/model"
	"lacewingturn.example/node/clock"
	"lacewingturn.example/node/loop"
	"lacewingturn.example/replica/replicatest"
)

// BenchmarkReport measures the leader's work for one heartbeat of a worker without
// free capacity, with 10,000 waiting tasks and no change since the last heartbeat.
func BenchmarkReport(b *testing.B) {
	for _, workers := range []int{50, 350, 720} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			m, r := loadedMachine(b, workers)
			reports := make([]Report, workers)
			for i := range reports {
				reports[i] = fullReport(r, fmt.Sprint(i)).indexed() // as Machine.Report does on the goroutine of the call
			}
			now := time.Now()
			send := func(report *Report) {
				report.Sequence++
				reply := make(chan answer, 1)
				m.Handle(now, reported{*report, reply})
				m.Flush(now)
				<-reply
			}
			for i := range reports { // the first report of a worker causes a planning pass
				send(&reports[i])
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				send(&reports[i%workers])
			}
		})
	}
}

// loadedMachine returns a machine with waiting tasks whose workers each run ten
// tasks that use all their processors.
func loadedMachine(b *testing.B, workers int) (*Machine, *replicatest.Replica) {
	r := replicatest.NewLeader(1)
	propose := func(c model.Command) {
		if _, err := r.Propose(context.Background(), []model.Envelope{{Command: c}}); err != nil {
			b.Fatal(err)
		}
	}
	propose(model.PublishCatalog{Catalog: model.Catalog{
		Version: 1, Pools: []model.WorkerPool{{Name: "p"}}, Queues: []model.Queue{{Name: "q", Host: "h", Prefix: "/", Pool: "p", MaxFailures: 3}},
	}})
	submit := func(i, count int) {
		step := model.Step{Count: count, Need: model.Resources{MilliCPU: 400}, Estimate: time.Second}
		propose(model.SubmitWorkload{Host: "h", Path: fmt.Sprintf("/%016x", i), Workload: model.Workload{Steps: []model.Step{step}}})
	}
	for i := range workers {
		submit(i, 10)
		var p model.RecordProgress
		for k := range 10 {
			ref := model.TaskRef{Workload: model.WorkloadID(fmt.Sprintf("%016x", i)), Index: k}
			p.Starts = append(p.Starts, model.RunStart{Run: model.RunRef{Task: ref, Number: 1}, Worker: model.MakeWorkerID(fmt.Sprint(i), 1)})
		}
		propose(p)
	}
	for i := range 500 {
		submit(1<<20+i, 20)
	}
	m := New(context.Background(), loop.New(64), r, clock.NewSuspendDetector(), Settings{
		MaxLease: maxLease, Metrics: NewMetrics(prometheus.NewRegistry()), Logger: zap.NewNop(),
	})
	m.Flush(time.Now())
	return m, r
}

// fullReport returns a heartbeat that lists the runs assigned to a worker.
func fullReport(r *replicatest.Replica, name string) Report {
	id := model.MakeWorkerID(name, 1)
	report := Report{
		Worker: id, Name: name, StartedAt: 1, Address: name, Instance: model.InstanceID(name), Pool: "p",
		Capacity: model.Resources{MilliCPU: 4000, MemoryMB: 4000},
	}
	a, _ := r.View().State.Assignments.Get(id)
	for run := range a.Runs.All() {
		report.Running = append(report.Running, Running{Run: run, Percent: 50})
	}
	return report
}
