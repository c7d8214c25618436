package replay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/command/dispatch"
	"lacewingturn.example/core/model"
)

// rotatingDemand describes a site whose services take turns as the active one. The
// active service receives five times its mean rate, the others a twentieth of
// theirs. A batch of stragglers, which are long requests, arrives at the start of each
// turn.
type rotatingDemand struct {
	services   []model.ServiceName
	callers    int           // callers of short work for each service
	mean       float64       // mean rate of short requests of each service, per second
	turn       time.Duration // length of a turn
	turns      int
	shortMin   time.Duration
	shortMax   time.Duration
	stragglers int // in each turn
	longMin    time.Duration
	longMax    time.Duration
	// mixed makes the callers of short work send the stragglers, spread over the turn.
	mixed bool
}

// The two sites have 50 workers of 8 slots and 5 services each.
var (
	cooperative = rotatingDemand{
		services: []model.ServiceName{"tickets", "quotes", "repairs", "orders", "pickups"}, callers: 12, mean: 500,
		turn: 3 * time.Second, turns: 10, shortMin: 20 * time.Millisecond, shortMax: 60 * time.Millisecond,
		stragglers: 400, longMin: 1500 * time.Millisecond, longMax: 2500 * time.Millisecond,
	}
	registry = rotatingDemand{
		services: []model.ServiceName{"timing", "tracks", "clearance", "playlists", "rights"}, callers: 30, mean: 700,
		turn: 5 * time.Second, turns: 5, shortMin: 10 * time.Millisecond, shortMax: 40 * time.Millisecond,
		stragglers: 450, longMin: 2 * time.Second, longMax: 4 * time.Second,
	}
)

// Rates of short requests of the active and of the other services, as multiples of
// the mean rate.
const activeFactor, inactiveFactor = 5.0, 1 / 20.0

func (s rotatingDemand) trace(seed uint64) Trace {
	rng := rand.New(rand.NewPCG(seed, 1))
	var t Trace
	for i := range 50 {
		t.Targets = append(t.Targets, Target{ID: fmt.Sprintf("worker-%d", i), Slots: 8})
	}
	add := func(at, run time.Duration, caller int, cohort string, service model.ServiceName) {
		id := model.CallerID(fmt.Sprintf("%s-%s-%d", service, cohort, caller))
		if s.mixed {
			id = model.CallerID(fmt.Sprintf("%s-%d", service, caller))
		}
		t.Records = append(t.Records, Record{
			ID: fmt.Sprint(len(t.Records)), Caller: id, Cohort: cohort, Service: service, At: at, Run: run,
		})
	}
	between := func(low, high time.Duration) time.Duration {
		return low + time.Duration(rng.Int64N(int64(high-low)+1))
	}
	for turn := range s.turns {
		begin := time.Duration(turn) * s.turn
		for i := range s.stragglers {
			at := begin
			if s.mixed {
				at = between(begin, begin+s.turn)
			}
			add(at, between(s.longMin, s.longMax), i%min(2, s.callers), "long", s.services[turn%len(s.services)])
		}
		for i, service := range s.services {
			rate := s.mean * inactiveFactor
			if i == turn%len(s.services) {
				rate = s.mean * activeFactor
			}
			for at := begin; at < begin+s.turn; at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second)) {
				add(at, between(s.shortMin, s.shortMax), rng.IntN(s.callers), "short", service)
			}
		}
	}
	return t
}

// Guards against short requests that wait behind stragglers when demand rotates
// between services, and against stragglers that finish much later in exchange.
func TestDefaultPolicyUnderRotatingDemand(t *testing.T) {
	for name, site := range map[string]rotatingDemand{"cooperative": cooperative, "registry": registry} {
		t.Run(name, func(t *testing.T) {
			trace := site.trace(7)
			fifo := mustRun(t, trace, dispatch.FIFO)
			alone := mustRun(t, filterCohort(trace, "short"), dispatch.FIFO).Cohorts["short"].Wait.P99
			got := mustRun(t, trace, dispatch.Default)
			short, long := got.Cohorts["short"], got.Cohorts["long"]
			t.Logf("%d short, %d long; short p99 %.1f ms (fifo %.1f, alone %.1f), max %.1f; long finished %.0f ms (fifo %.0f), p99 %.0f (fifo %.0f); utilization %.3f; reserve idle %.0f slot-ms",
				short.Count, long.Count, short.Wait.P99, fifo.Cohorts["short"].Wait.P99, alone, short.Wait.Max,
				long.FinishedMS, fifo.Cohorts["long"].FinishedMS, long.Wait.P99, fifo.Cohorts["long"].Wait.P99, got.Utilization, got.ReserveIdleSlotMS)
			oneRun := inMS((site.shortMin + site.shortMax) / 2)
			assert.Check(t, short.Wait.P99*10 <= fifo.Cohorts["short"].Wait.P99)
			assert.Check(t, short.Wait.P99 <= 1.5*alone+oneRun)
			assert.Check(t, long.FinishedMS <= 1.1*fifo.Cohorts["long"].FinishedMS)
		})
	}
}

// Guards against a policy that delays short requests because their callers also send
// stragglers. The p99 wait of short requests may exceed that under FIFO by at most
// one short run.
func TestDefaultPolicyWithStragglersAmongShortWork(t *testing.T) {
	for name, site := range map[string]rotatingDemand{"cooperative": cooperative, "registry": registry} {
		t.Run(name, func(t *testing.T) {
			site.mixed = true
			trace := site.trace(7)
			fifo := mustRun(t, trace, dispatch.FIFO)
			got := mustRun(t, trace, dispatch.Default)
			t.Logf("short p99 %.1f ms (fifo %.1f), max %.1f (fifo %.1f); long finished %.0f ms (fifo %.0f); reserve idle %.0f slot-ms",
				got.Cohorts["short"].Wait.P99, fifo.Cohorts["short"].Wait.P99, got.Cohorts["short"].Wait.Max, fifo.Cohorts["short"].Wait.Max,
				got.Cohorts["long"].FinishedMS, fifo.Cohorts["long"].FinishedMS, got.ReserveIdleSlotMS)
			assert.Check(t, got.Cohorts["short"].Wait.P99 <= fifo.Cohorts["short"].Wait.P99+inMS((site.shortMin+site.shortMax)/2))
			assert.Check(t, got.Cohorts["long"].FinishedMS <= 1.1*fifo.Cohorts["long"].FinishedMS)
		})
	}
}

// Guards against declared run times that are ignored or relied on as exact. A caller
// of short requests sends the stragglers too, and all declared run times are up to
// four times too low or too high.
func TestDeclaredRunTimesIdentifyStragglers(t *testing.T) {
	for name, site := range map[string]rotatingDemand{"cooperative": cooperative, "registry": registry} {
		t.Run(name, func(t *testing.T) {
			trace := site.trace(7)
			rng := rand.New(rand.NewPCG(7, 2))
			for i, r := range trace.Records {
				if r.Cohort == "long" {
					trace.Records[i].Caller = model.CallerID(fmt.Sprintf("%s-short-0", r.Service))
				}
				trace.Records[i].Declared = r.Run * time.Duration(1<<rng.IntN(5)) / 4
			}
			fifo := mustRun(t, trace, dispatch.FIFO)
			got := mustRun(t, trace, dispatch.Default)
			short, long := got.Cohorts["short"], got.Cohorts["long"]
			t.Logf("short p99 %.1f ms (fifo %.1f), max %.1f; long finished %.0f ms (fifo %.0f); reserve idle %.0f slot-ms",
				short.Wait.P99, fifo.Cohorts["short"].Wait.P99, short.Wait.Max, long.FinishedMS, fifo.Cohorts["long"].FinishedMS, got.ReserveIdleSlotMS)
			assert.Check(t, short.Wait.P99*10 <= fifo.Cohorts["short"].Wait.P99)
			assert.Check(t, long.FinishedMS <= 1.1*fifo.Cohorts["long"].FinishedMS)
		})
	}
}
