package fleet

import (
	"context"
	"slices"
	"time"

	"lacewingturn.example/core/model"
	"lacewingturn.example/replica/schedule"
)

// step advances all instances by one tick.
func (s *handoverSite) step(now time.Time) {
	s.serve(now)
	s.deliverHeld(now)
	for _, i := range s.instances {
		if !i.backAt.IsZero() && now.After(i.backAt) {
			s.begin(i)
		}
		w := i.worker
		if w != nil {
			s.work(w, now)
		}
		if w != nil && now.After(w.nextReport) {
			s.report(i, w, now)
		}
	}
}

// work ends the runs of a worker whose time, stop or lease is over.
func (s *handoverSite) work(w *siteWorker, now time.Time) {
	for _, r := range slices.Clone(w.runs) {
		_, lasting := s.lasting[r.ref.Task.Workload]
		switch {
		case now.After(w.leaseUntil):
			s.end(w, r, model.RunInterrupted)
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			s.endByOrder(w, r, now, "a stop")
			s.end(w, r, model.RunInterrupted)
		case !lasting && now.After(r.endsAt):
			s.end(w, r, model.RunDone)
		case lasting && r.atWork(now):
			s.workedAt[r.ref.Task] = now
			if r.stopAt.IsZero() {
				delete(s.awayByOrder, r.ref.Task)
			}
		}
	}
}

func (s *handoverSite) end(w *siteWorker, r *siteRun, outcome model.RunOutcome) {
	w.runs = slices.DeleteFunc(w.runs, func(o *siteRun) bool { return o == r })
	w.position++
	w.ended = append(w.ended, schedule.Ended{Position: w.position, Run: r.ref, Outcome: outcome})
	w.lastEnded[r.ref.Task] = max(w.lastEnded[r.ref.Task], r.ref.Number)
	w.nextReport = time.Time{}
}

// endByOrder judges that planned work ends a run.
func (s *handoverSite) endByOrder(w *siteWorker, r *siteRun, now time.Time, what string) {
	tasks, lasting := s.lasting[r.ref.Task.Workload]
	if !lasting || !r.atWork(now) {
		return
	}
	away := 0
	for k := range tasks {
		other := r.ref.Task
		other.Index = k
		worked, ever := s.workedAt[other]
		if other != r.ref.Task && (s.awayByOrder[other] || ever && now.Sub(worked) > siteNotice) {
			away++
		}
	}
	if away >= siteMissable {
		s.t.Errorf("%s: %s ends %v at work on %s while %d others of its step are away", now.Format("05.000"), what, r.ref, w.name, away)
	}
	s.awayByOrder[r.ref.Task] = true
}

// report sends a heartbeat, or holds it up, and carries out the answer unless that is lost.
func (s *handoverSite) report(i *siteInstance, w *siteWorker, now time.Time) {
	w.sequence++
	r := schedule.Report{
		Worker: model.MakeWorkerID(w.name, model.TimestampOf(w.born)), Name: w.name, StartedAt: model.TimestampOf(w.born), Address: "10.0.0.1:" + w.name,
		Instance: i.id, Pool: i.pool, Capacity: model.Resources{MilliCPU: siteCapacity, MemoryMB: 4000}, Sequence: w.sequence, Clock: now.Sub(w.born),
		Ended: slices.Clone(w.ended),
	}
	for _, run := range w.runs {
		r.Running = append(r.Running, schedule.Running{Run: run.ref, Percent: s.percent(run, now)})
	}
	if !s.calm && s.rng.IntN(40) == 0 {
		s.held = append(s.held, heldReport{now.Add(time.Duration(s.rng.IntN(3000)) * time.Millisecond), r})
		w.nextReport = now.Add(time.Second)
		return
	}
	o, err := s.scheduler.Report(context.Background(), r)
	w.nextReport = now.Add(max(o.NextReport, 50*time.Millisecond))
	if err != nil || !s.calm && s.rng.IntN(15) == 0 {
		w.nextReport = now.Add(time.Second)
		return
	}
	s.obey(w, o, now)
}

// percent returns the progress that a run lists; one that is being stopped lists what it had.
func (s *handoverSite) percent(r *siteRun, now time.Time) int {
	if _, lasting := s.lasting[r.ref.Task.Workload]; lasting {
		if r.atWork(now) {
			return 100
		}
		return 0
	}
	return min(99, int(100*now.Sub(r.began)/(r.endsAt.Sub(r.began)+1)))
}

// obey carries out an answer.
func (s *handoverSite) obey(w *siteWorker, o schedule.Orders, now time.Time) {
	w.ended = slices.DeleteFunc(w.ended, func(e schedule.Ended) bool { return e.Position <= o.AckCursor })
	if o.Lease == 0 {
		return
	}
	w.leaseUntil = now.Add(o.Lease)
	for _, run := range o.Stop {
		w.lastEnded[run.Task] = max(w.lastEnded[run.Task], run.Number)
		for _, r := range w.runs {
			if r.ref == run && r.stopAt.IsZero() {
				r.stopAt = now.Add(time.Duration(s.rng.Int64N(int64(siteStopTimeout))))
				s.mayChangeLeader(now)
			}
		}
	}
	for _, start := range o.Start {
		s.start(w, start, now)
	}
}

// mayChangeLeader has the leader change soon after an order, now and then.
func (s *handoverSite) mayChangeLeader(now time.Time) {
	if s.rng.IntN(3) == 0 {
		s.nextChange = now.Add(time.Duration(s.rng.IntN(600)) * time.Millisecond)
	}
}

func (s *handoverSite) start(w *siteWorker, o schedule.StartOrder, now time.Time) {
	task := o.Run.Task
	if o.Run.Number <= w.lastEnded[task] || slices.ContainsFunc(w.runs, func(r *siteRun) bool { return r.ref == o.Run }) {
		return
	}
	for _, i := range s.instances {
		if i.worker != nil && slices.ContainsFunc(i.worker.runs, func(r *siteRun) bool { return r.ref.Task == task }) {
			s.t.Errorf("%s: %v starts on %s while another run is on %s", now.Format("05.000"), o.Run, w.name, i.worker.name)
		}
	}
	w.runs = append(w.runs, &siteRun{ref: o.Run, began: now, endsAt: now.Add(s.took[task.Workload])})
}

// deliverHeld delivers the heartbeats that were held up; nobody waits for their answers.
func (s *handoverSite) deliverHeld(now time.Time) {
	s.held = slices.DeleteFunc(s.held, func(h heldReport) bool {
		if now.Before(h.at) {
			return false
		}
		_, _ = s.scheduler.Report(context.Background(), h.report)
		return true
	})
}
