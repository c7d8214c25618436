package job_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/command/job"
	"lacewingturn.example/core/model"
)

// busyWorld has n workers filled with jobs of 35 teams and many more queued.
func busyWorld(b *testing.B, workers, queued int) *world {
	w := newWorld(b, workers)
	for i := range queued + workers*4 {
		w.submit(model.JobID(fmt.Sprintf("j%06d", i)), func(j *model.Job) {
			j.Team = model.TeamName(fmt.Sprintf("team%02d", i%35))
			j.Class = fmt.Sprint("class", i%10)
		})
	}
	for w.s.JobIndex.Active.Len() < workers*4 {
		w.reconcile()
	}
	for _, j := range w.s.JobIndex.Active.All() {
		w.start(j.ID)
	}
	assert.Equal(b, w.s.JobIndex.Queue.Len(), queued)
	return w
}

// BenchmarkReconcile measures one pass over a full fleet with 50 free places.
func BenchmarkReconcile(b *testing.B) {
	for _, workers := range []int{50, 720} {
		for _, queued := range []int{1_000, 100_000} {
			b.Run(fmt.Sprintf("workers=%d/queued=%d", workers, queued), func(b *testing.B) {
				w := busyWorld(b, workers, queued)
				n := 0
				for _, j := range w.s.JobIndex.Active.All() {
					if n++; n > 50 {
						break
					}
					w.end(j.ID, true)
				}
				b.ReportAllocs()
				b.ResetTimer()
				for range b.N {
					commands, _ := job.Reconcile(w.s, w.now)
					if len(commands) < 50 {
						b.Fatalf("%d commands", len(commands))
					}
				}
			})
		}
	}
}

// BenchmarkUrgentStart measures the decisions from the submission of an urgent
// job on a full fleet to its lease: a pass that asks for room, the end of the
// jobs that give way, and the pass that places it.
func BenchmarkUrgentStart(b *testing.B) {
	for _, workers := range []int{50, 720} {
		for _, queued := range []int{1_000, 100_000} {
			b.Run(fmt.Sprintf("workers=%d/queued=%d", workers, queued), func(b *testing.B) {
				w := busyWorld(b, workers, queued)
				start := *w
				b.ResetTimer()
				for range b.N {
					*w = start
					w.submit("urgent", func(j *model.Job) { j.Urgent = true })
					for _, c := range w.reconcile() {
						if c, ok := c.(model.ControlJob); ok {
							w.must(model.JobEnded{ID: c.ID, Token: c.Token, Cancelled: true, Reason: "checkpoint"})
						}
					}
					w.reconcile()
					if w.job("urgent").Phase != model.JobLeased {
						b.Fatal(w.job("urgent").Phase)
					}
				}
			})
		}
	}
}

// BenchmarkApply measures the commands of one job's life.
func BenchmarkApply(b *testing.B) {
	for _, queued := range []int{1_000, 100_000} {
		b.Run(fmt.Sprintf("queued=%d", queued), func(b *testing.B) {
			w := busyWorld(b, 720, queued)
			for _, j := range w.s.JobIndex.Active.All() {
				w.must(model.JobEnded{ID: j.ID, Token: j.Lease.Token, Succeeded: true, Run: time.Second, Used: cores(1)})
				break
			}
			start := *w
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				*w = start
				w.submit("one", nil)
				token := uint64(0)
				for _, i := range w.s.Instances.All() {
					if w.do(model.PlaceJob{ID: "one", Worker: i.ID}).Code.OK() {
						token = w.job("one").Lease.Token
						break
					}
				}
				w.must(model.JobStarted{ID: "one", Token: token})
				w.must(model.JobReport{ID: "one", Token: token, Used: cores(1)})
				w.must(model.JobEnded{ID: "one", Token: token, Succeeded: true, Run: time.Second, Used: cores(1)})
			}
		})
	}
}

// BenchmarkCancelMany measures the time for each job of one command.
func BenchmarkCancelMany(b *testing.B) {
	w := busyWorld(b, 50, 100_000)
	var ids []model.JobID
	for _, id := range w.s.JobIndex.Queue.All() {
		ids = append(ids, id)
	}
	for _, n := range []int{100, 10_000} {
		b.Run(fmt.Sprintf("jobs=%d", n), func(b *testing.B) {
			start := *w
			for range b.N {
				*w = start
				w.must(model.CancelJobs{IDs: ids[:n]})
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/job")
			*w = start
		})
	}
}
