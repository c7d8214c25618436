// Package clock notices when the machine was suspended. The steady clock that
// timers use does not count that time.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// suspension is the growth of the difference of both clocks that counts as one.
const suspension = 50 * time.Millisecond

// Guard compares the steady clock with the one that counts suspended time. It
// may be used by many goroutines.
type Guard struct {
	started time.Time
	offset  atomic.Int64 // nanoseconds by which the other clock is ahead
	resumed atomic.Int64 // nanoseconds from started to the last suspension; 0 if none
}

// NewGuard returns a guard that knows of no suspension.
func NewGuard() *Guard {
	g := &Guard{started: time.Now()}
	g.offset.Store(ahead())
	return g
}

// Trusted reports whether what was known at the time t still counts: the
// machine was not suspended since.
func (g *Guard) Trusted(t time.Time) bool {
	if now := ahead(); now-g.offset.Swap(now) > int64(suspension) {
		g.resumed.Store(int64(time.Since(g.started)))
	}
	resumed := g.resumed.Load()
	return resumed == 0 || t.Sub(g.started) > time.Duration(resumed)
}

func ahead() int64 { return read(unix.CLOCK_BOOTTIME) - read(unix.CLOCK_MONOTONIC) }

func read(id int32) int64 {
	var ts unix.Timespec
	if err := unix.ClockGettime(id, &ts); err != nil {
		return 0 // both clocks exist on every supported kernel
	}
	return ts.Nano()
}
