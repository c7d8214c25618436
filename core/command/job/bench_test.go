package job_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/command/job"
	"lacewingturn.example/core/model"
)

// busyFleet returns a fleet whose workers are full with jobs of 35 teams and 10
// classes, and with the given number of queued jobs.
func busyFleet(b *testing.B, workers, queued int) *fleet {
	f := newFleet(b, workers)
	for i := range queued + workers*4 {
		f.submit(model.JobID(fmt.Sprintf("j%06d", i)), func(j *model.Job) {
			j.Team = model.TeamName(fmt.Sprintf("team%02d", i%35))
			j.Class = fmt.Sprint("class", i%10)
		})
	}
	for f.s.JobIndex.Active.Len() < workers*4 {
		f.reconcile()
	}
	for _, j := range f.s.JobIndex.Active.All() {
		f.start(j.ID)
	}
	assert.Equal(b, f.s.JobIndex.Queue.Len(), queued)
	return f
}

// BenchmarkReconcile measures one pass over a full fleet in which 50 jobs have ended.
func BenchmarkReconcile(b *testing.B) {
	for _, workers := range []int{50, 720} {
		for _, queued := range []int{1_000, 100_000} {
			b.Run(fmt.Sprintf("workers=%d/queued=%d", workers, queued), func(b *testing.B) {
				f := busyFleet(b, workers, queued)
				n := 0
				for _, j := range f.s.JobIndex.Active.All() {
					if n++; n > 50 {
						break
					}
					f.end(j.ID, true)
				}
				b.ReportAllocs()
				b.ResetTimer()
				for range b.N {
					commands, _ := job.Reconcile(f.s, f.now)
					if len(commands) < 50 {
						b.Fatalf("%d commands", len(commands))
					}
				}
			})
		}
	}
}

// BenchmarkUrgentStart measures the decisions from the submission of an urgent job to
// a full fleet until its lease: a pass that preempts jobs, the end of those jobs, and
// the pass that places the urgent one.
func BenchmarkUrgentStart(b *testing.B) {
	for _, workers := range []int{50, 720} {
		for _, queued := range []int{1_000, 100_000} {
			b.Run(fmt.Sprintf("workers=%d/queued=%d", workers, queued), func(b *testing.B) {
				f := busyFleet(b, workers, queued)
				start := *f
				b.ResetTimer()
				for range b.N {
					*f = start
					f.submit("urgent", func(j *model.Job) { j.Urgent = true })
					for _, c := range f.reconcile() {
						if c, ok := c.(model.ControlJob); ok {
							f.mustApply(model.JobEnded{ID: c.ID, Token: c.Token, Cancelled: true, Reason: "checkpoint"})
						}
					}
					f.reconcile()
					if f.job("urgent").Phase != model.JobLeased {
						b.Fatal(f.job("urgent").Phase)
					}
				}
			})
		}
	}
}

// BenchmarkApply measures the commands of one job from submission to its end.
func BenchmarkApply(b *testing.B) {
	for _, queued := range []int{1_000, 100_000} {
		b.Run(fmt.Sprintf("queued=%d", queued), func(b *testing.B) {
			f := busyFleet(b, 720, queued)
			for _, j := range f.s.JobIndex.Active.All() {
				f.mustApply(model.JobEnded{ID: j.ID, Token: j.Lease.Token, Succeeded: true, Run: time.Second, Used: cores(1)})
				break
			}
			start := *f
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				*f = start
				f.submit("one", nil)
				token := uint64(0)
				for _, i := range f.s.Instances.All() {
					if f.do(model.PlaceJob{ID: "one", Worker: i.ID}).Code.OK() {
						token = f.job("one").Lease.Token
						break
					}
				}
				f.mustApply(model.JobStarted{ID: "one", Token: token})
				f.mustApply(model.JobReport{ID: "one", Token: token, Used: cores(1)})
				f.mustApply(model.JobEnded{ID: "one", Token: token, Succeeded: true, Run: time.Second, Used: cores(1)})
			}
		})
	}
}

// BenchmarkCancelMany measures the time per job of one bulk cancellation.
func BenchmarkCancelMany(b *testing.B) {
	f := busyFleet(b, 50, 100_000)
	var ids []model.JobID
	for _, id := range f.s.JobIndex.Queue.All() {
		ids = append(ids, id)
	}
	for _, n := range []int{100, 10_000} {
		b.Run(fmt.Sprintf("jobs=%d", n), func(b *testing.B) {
			start := *f
			for range b.N {
				*f = start
				f.mustApply(model.CancelJobs{IDs: ids[:n]})
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/job")
			*f = start
		})
	}
}
