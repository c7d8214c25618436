package faults

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/operator/client"
)

// BenchmarkInForce measures the time from the acceptance of a configuration until
// 10 of 12 entry instances use it, while one of the other two is isolated and the
// other was restarted just before. For the restarted one it reports the longest time from
// its restart until it uses the configuration.
func BenchmarkInForce(b *testing.B) {
	s := Start(b, 12)
	isolated, restarted := s.Entries[11], s.Entries[10]
	for _, r := range s.ReplicaRelays {
		r.CutFrom(isolated.PID(), Both)
	}
	operator, base, changes := s.Operator("bench"), uint64(1), 0
	var total, longest, longestRestart time.Duration
	for b.Loop() {
		restarted.Kill()
		restarted.Start()
		began := time.Now()
		r := operator.Submit(b.Context(), client.NewRequestID(), model.AcceptConfig{Base: model.Revision(base), Config: s.ConfigWithSiteName(fmt.Sprintf("bench-%d", base))})
		if r.Code != result.Accepted {
			b.Fatal(r.Error())
		}
		accepted := time.Now()
		base = r.Revision
		s.WaitUntil("the connected entry instances use the configuration", func() bool { return s.AllAtRevision(base, s.Entries[:10]...) })
		took := time.Since(accepted)
		s.WaitUntil("the restarted entry instance uses the configuration", func() bool { return s.AllAtRevision(base, restarted) })
		longestRestart = max(longestRestart, time.Since(began))
		total, longest, changes = total+took, max(longest, took), changes+1
	}
	b.ReportMetric(total.Seconds()*1000/float64(changes), "in-force-mean-ms")
	b.ReportMetric(longest.Seconds()*1000, "in-force-max-ms")
	b.ReportMetric(longestRestart.Seconds()*1000, "restarted-max-ms")
	b.ReportMetric(float64(changes), "changes")
}

// BenchmarkFailover measures the time from the loss of the leader until a new leader
// is known and until the next change is accepted, with the leader killed and with
// the leader frozen.
func BenchmarkFailover(b *testing.B) {
	for _, loss := range []syscall.Signal{syscall.SIGKILL, syscall.SIGSTOP} {
		b.Run(loss.String(), func(b *testing.B) { measureFailover(b, loss) })
	}
}

func measureFailover(b *testing.B, loss syscall.Signal) {
	s := Start(b, 2)
	base, losses := uint64(1), 0
	var total, longest, longestElection time.Duration
	for b.Loop() {
		leader := s.Leader()
		lost := s.Controls[leader]
		lost.Signal(loss)
		began := time.Now()
		s.Leader(lost)
		longestElection = max(longestElection, time.Since(began))
		base = accept(s, base, 1)
		took := time.Since(began)
		total, longest, losses = total+took, max(longest, took), losses+1
		if loss == syscall.SIGSTOP {
			lost.Signal(syscall.SIGCONT)
		} else {
			lost.Kill()
			lost.Start()
		}
		s.WaitUntil("the lost replica has caught up", func() bool { return revisionOf(s, leader) == base })
	}
	b.ReportMetric(total.Seconds()*1000/float64(losses), "accepted-mean-ms")
	b.ReportMetric(longest.Seconds()*1000, "accepted-max-ms")
	b.ReportMetric(longestElection.Seconds()*1000, "elected-max-ms")
	b.ReportMetric(float64(losses), "losses")
}
