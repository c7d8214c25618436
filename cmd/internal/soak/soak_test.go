// Package soak runs the programs of the system as processes on loopback against
// a stand-in of the users' platform, injects faults from outside of them that
// overlap, and checks the promises by what callers, workers and the operator see.
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
	seeds  = flag.Int("soak.seeds", 0, "number of fresh seeds to run")
	first  = flag.Uint64("soak.first", 0, "first of the fresh seeds; chosen by the time if 0")
	length = flag.Duration("soak.length", 12*time.Second, "how long faults are injected for each fresh seed")
)

// settleBound is how long after the last fault every job must have ended.
const settleBound = 26 * time.Second

func TestMain(m *testing.M) {
	code := m.Run()
	faults.RemoveBinary()
	os.Exit(code)
}

// regressions are seeds that have failed, with the cause.
var regressions = []struct {
	seed   uint64
	length time.Duration
	cause  string
}{
	{1, 6 * time.Second, "none; the short run of CI"},
	{103, 12 * time.Second, "two replicas whose disks had been full for a while took no part any more until a new start"},
	{643, 12 * time.Second, "the soak took the disk of a second replica before the successor of the first voted"},
}

// Guards against promises that are broken when faults of several kinds overlap.
func TestSeedsThatFailed(t *testing.T) {
	for _, r := range regressions {
		t.Run(fmt.Sprint(r.seed), func(t *testing.T) { soak(t, r.seed, r.length) })
	}
}

// Guards against the same with seeds that were never run before.
func TestFreshSeeds(t *testing.T) {
	from := *first
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
	work := newTraffic(s)
	work.publish(1)
	s.until("a job is accepted", startTimeout, func() bool {
		j := s.ledger.submit(newProbe(rng))
		work.submit(j, rng)
		return j.accepted
	})
	ctx, cancel := context.WithCancel(t.Context())
	work.run(ctx, seed)
	series := &series{system: s, rng: rng, held: map[*faults.Process]bool{}}
	s.all.Go(func() { series.supervise(s.ctx) })
	series.inject(ctx, length)
	cancel()
	work.all.Wait()
	s.settle(work, rng)
	for _, b := range s.ledger.report() {
		t.Error(b)
	}
	accepted := 0
	for _, j := range s.ledger.list() {
		if j.accepted {
			accepted++
		}
	}
	t.Logf("seed %d: %d jobs, %d accepted, %d starts", seed, len(s.ledger.list()), accepted, s.ledger.starts)
	assert.Check(t, accepted > 0)
}

// settle waits until every accepted job has ended and judges what is shown.
func (s *system) settle(work *traffic, rng *rand.Rand) {
	end := time.Now().Add(settleBound)
	for _, j := range s.ledger.list() {
		var status int
		var state string
		for {
			status, state, _ = work.caller.State(s.t.Context(), work.anyEntry(rng), j.Job) // status 0 stands for the error
			settled := status == http.StatusOK && state != "queued" && state != "active" || !j.accepted && status == http.StatusGone
			if settled || time.Now().After(end) || wait.For(s.t.Context(), retryPause) != nil {
				break
			}
		}
		assert.Check(s.t, !j.accepted || state != "queued" && state != "active", "LOST: job %s is %s %s after the last fault", j.ID, state, settleBound)
		s.ledger.judge(j, status, state)
	}
	newest := work.newest.Load()
	s.until("every replica votes", settleBound, s.voting)
	s.until("the newest version is shown", settleBound, func() bool { return work.operator.Read(s.t.Context(), work.controls()[0]) >= newest })
}
