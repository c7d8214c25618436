// Package soak runs the programs of the system as processes on loopback against
// a simulation of the users' platform. It injects overlapping faults from outside
// of the processes and checks the guarantees of the system by what callers, workers and
// the operator observe.
package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/cmd/internal/faults"
	"lacewingturn.example/node/wait"
)

var (
	seeds     = flag.Int("soak.seeds", 0, "number of fresh seeds to run")
	firstSeed = flag.Uint64("soak.first", 0, "first of the fresh seeds; 0 takes it from the current time")
	length    = flag.Duration("soak.length", 12*time.Second, "how long faults are injected with each fresh seed")
)

// settleTimeout is how long after the last fault every accepted workload must have ended.
const settleTimeout = 26 * time.Second

func TestMain(m *testing.M) {
	code := m.Run()
	faults.RemoveBinary()
	os.Exit(code)
}

// regressions are the seeds that have failed before, with the cause of the failure,
// and one short run for CI.
var regressions = []struct {
	seed   uint64
	length time.Duration
	cause  string
}{
	{1, 6 * time.Second, "none; the short run of CI"},
	{103, 12 * time.Second, "two replicas whose disks had been full for a time took no part in the group until they were restarted"},
	{1796504727503, 12 * time.Second, "a heartbeat of another writer without all fields replaced a worker at work, whose tasks ran twice"},
	{643, 12 * time.Second, "this test deleted the data folder of a second replica before the replacement of the first voted"},
}

// Guards against violated guarantees when faults of several kinds overlap: workloads that
// are lost, run twice, run out of order or run after a refusal or cancellation. It
// runs the seeds that have failed before.
func TestRegressionSeeds(t *testing.T) {
	for _, r := range regressions {
		t.Run(fmt.Sprint(r.seed), func(t *testing.T) { soak(t, r.seed, r.length) })
	}
}

// Guards against the same failures with seeds that were not run before. It runs only
// if -soak.seeds is set.
func TestFreshSeeds(t *testing.T) {
	from := *firstSeed
	if from == 0 {
		from = uint64(time.Now().UnixMilli())
	}
	for i := range uint64(*seeds) {
		t.Run(fmt.Sprint(from+i), func(t *testing.T) {
			t.Parallel()
			soak(t, from+i, *length)
		})
	}
}

func soak(t *testing.T, seed uint64, length time.Duration) {
	rng := rand.New(rand.NewPCG(seed, seed))
	s := startSystem(t, rng)
	load := newTraffic(s)
	load.publish(1)
	s.waitUntil("a job is accepted", startTimeout, func() bool {
		w := s.checker.recordWorkload(newProbe(rng))
		load.submit(w, rng)
		return w.accepted
	})
	ctx, cancel := context.WithCancel(t.Context())
	load.run(ctx, seed)
	injector := &faultInjector{system: s, rng: rng, reserved: map[*faults.Process]bool{}}
	s.all.Go(func() { injector.supervise(s.ctx) })
	s.all.Go(func() { injector.writeOddHeartbeats(ctx, rand.New(rand.NewPCG(seed, seed+1))) })
	s.all.Go(func() { injector.leaveUnfinished(ctx, rand.New(rand.NewPCG(seed, seed+2))) })
	load.all.Go(func() { load.callCostly(ctx, rand.New(rand.NewPCG(seed, seed+3))) })
	injector.inject(ctx, length)
	cancel()
	load.all.Wait()
	s.awaitSettled(load, rng)
	s.checkMemory()
	for _, b := range s.checker.report() {
		t.Error(b)
	}
	accepted := 0
	for _, w := range s.checker.list() {
		if w.accepted {
			accepted++
		}
	}
	t.Logf("seed %d: %d jobs, %d accepted, %d starts", seed, len(s.checker.list()), accepted, s.checker.starts)
	assert.Check(t, accepted > 0)
}

// awaitSettled waits until every accepted workload has ended and checks the state that
// the system shows for each workload. Then it waits until all replicas vote and a control
// process shows the newest version of the configuration.
func (s *system) awaitSettled(load *traffic, rng *rand.Rand) {
	end := time.Now().Add(settleTimeout)
	for _, w := range s.checker.list() {
		var status int
		var state string
		for {
			status, state, _ = load.caller.State(s.t.Context(), load.entryAddress(rng), w.Workload) // an error leaves status 0
			settled := status == http.StatusOK && state != "queued" && state != "active" || !w.accepted && status == http.StatusGone
			if settled || time.Now().After(end) || wait.Sleep(s.t.Context(), retryPause) != nil {
				break
			}
		}
		assert.Check(s.t, !w.accepted || state != "queued" && state != "active", "LOST: job %s is still %s %s after the last fault", w.ID, state, settleTimeout)
		s.checker.checkState(w, status, state)
	}
	newest := load.newest.Load()
	s.waitUntil("every replica votes", settleTimeout, s.voting)
	s.waitUntil("the first control process shows the newest version of the configuration", settleTimeout, func() bool { return load.operator.Version(s.t.Context(), load.controls()[0]) >= newest })
}
