package scale

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/query"
)

const testWindow = 500 * time.Millisecond

var testHorizon = Horizon{Window: testWindow, Lead: 1800 * time.Millisecond, Clearing: 2 * time.Second}

func work(cores int64, rounds int) query.Work {
	return query.Work{Seconds: cores64(cores), Rounds: rounds}
}

func cores64(n int64) model.Resources { return model.Resources{MilliCPU: n * 1000} }

// Guards against a single large workload that passes for the start of a burst.
func TestSingleWorkloadIsNoBurst(t *testing.T) {
	in := query.Inflow{Waiting: work(200, 1), Recent: work(200, 1)}
	assert.Equal(t, Forecast(in, model.Resources{}, testHorizon), cores64(100)) // its own work within the clearing time
}

// Guards against a forecast that asks for more than the demand seen once the demand falls,
// and against one that adds to a pool whose capacity does the waiting work in time.
func TestFallingDemandIsNotExtrapolatedUpwards(t *testing.T) {
	in := query.Inflow{Waiting: work(100, 4), Recent: work(400, 40), Earlier: work(1000, 100)}
	f := Forecast(in, cores64(2000*18/10), testHorizon)
	assert.Assert(t, f.MilliCPU <= 800_000, "%d", f.MilliCPU) // the rate of the recent window
	steady := query.Inflow{Waiting: work(50, 4), Recent: work(500, 100), Earlier: work(500, 100)}
	f = Forecast(steady, cores64(1100*18/10), testHorizon)
	assert.Assert(t, f.MilliCPU <= 1_100_000, "%d", f.MilliCPU)
}

// burst is the number of workloads that arrive in each half second: the demand of a queue
// rises within three seconds to over ten times what its pool can serve, and falls again.
var burst = []int{6, 34, 48, 66, 80, 90, 92, 95, 95, 84, 74, 66, 55, 45, 40, 20, 13, 5, 4}

// replay plays the burst on a pool that grows to the capacity, in cores, that size returns
// and gets it after the lead time. It returns the longest time in seconds from the arrival
// of work until it is done, first come, first served, and the capacity paid for in cores
// multiplied by seconds.
func replay(size func(in query.Inflow, running, done int64) int64) (longest, paid float64) {
	const (
		perArrival = 25  // cores multiplied by seconds
		start      = 800 // cores
		fleet      = 9600
	)
	seconds := testWindow.Seconds()
	moving := make([]int64, int(testHorizon.Lead/testWindow)+1) // capacity that arrives in so many windows
	capacity, earlier := int64(start), 0
	var arrived, served float64
	var arrivals []float64 // all work that had arrived by the end of each window
	for now := 0; now < len(burst) || served < arrived; now++ {
		capacity += moving[0]
		moving = append(moving[1:], 0)
		n := 0
		if now < len(burst) {
			n = burst[now]
		}
		arrived += float64(n * perArrival)
		arrivals = append(arrivals, arrived)
		waiting := int64(arrived - served)
		in := query.Inflow{Waiting: work(waiting, n), Recent: work(int64(n)*perArrival, n), Earlier: work(int64(earlier)*perArrival, earlier)}
		earlier = n
		done, total := float64(capacity)*testHorizon.Lead.Seconds(), capacity
		for i, c := range moving {
			done += float64(c) * (testHorizon.Lead.Seconds() - float64(i)*seconds)
			total += c
		}
		if want := min(size(in, min(capacity, waiting), int64(done)), fleet); want > total {
			moving[len(moving)-1] += want - total
			total = want
		}
		served = min(arrived, served+float64(capacity)*seconds)
		paid += float64(total) * seconds
		for len(arrivals) > 0 && arrivals[0] <= served {
			longest = max(longest, float64(len(arrivals))*seconds)
			arrivals = arrivals[1:]
		}
	}
	return longest, paid
}

// Guards against capacity that comes too late for a burst: sized by the running and the
// waiting work alone, a pool grows only once work waits, by the part that it waits for.
func TestForecastAnswersBurst(t *testing.T) {
	bySeen := func(in query.Inflow, running int64) int64 { return running + in.Waiting.Seconds.MilliCPU/1000/2 }
	before, paidBefore := replay(func(in query.Inflow, running, _ int64) int64 { return bySeen(in, running) })
	after, paidAfter := replay(func(in query.Inflow, running, done int64) int64 {
		return max(bySeen(in, running), Forecast(in, cores64(done), testHorizon).MilliCPU/1000)
	})
	t.Logf("longest time until work is done: %.1f s without, %.1f s with the forecast; paid for %.0f and %.0f core seconds", before, after, paidBefore, paidAfter)
	// Nothing can be done about the work that arrives within the first lead time.
	bound := (testHorizon.Lead + testWindow).Seconds()
	assert.Assert(t, before > bound, "%.1f s", before)
	assert.Assert(t, after <= bound, "%.1f s", after)
}
