// Package clock detects suspensions of the machine. The monotonic clock that Go
// timers use does not advance while the machine is suspended, so leases measured
// with it appear valid for too long.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// minSuspension is the growth of the total suspended time, between two checks, that
// counts as a suspension. The two clocks are not read at the same instant.
const minSuspension = 50 * time.Millisecond

// SuspendDetector detects suspensions by comparing CLOCK_MONOTONIC with
// CLOCK_BOOTTIME, which includes suspended time. It is safe for concurrent use.
type SuspendDetector struct {
	started   time.Time
	suspended atomic.Int64 // nanoseconds that the machine was suspended since it was booted
	resumedAt atomic.Int64 // nanoseconds from started to the detection of the last suspension; 0 if none
}

// NewSuspendDetector returns a detector of suspensions from now on.
func NewSuspendDetector() *SuspendDetector {
	d := &SuspendDetector{started: time.Now()}
	d.suspended.Store(suspendedTime())
	return d
}

// StillValid reports whether information obtained at time t is still valid, that is,
// no suspension was detected after t.
func (d *SuspendDetector) StillValid(t time.Time) bool {
	if now := suspendedTime(); now-d.suspended.Swap(now) > int64(minSuspension) {
		d.resumedAt.Store(int64(time.Since(d.started)))
	}
	resumedAt := d.resumedAt.Load()
	return resumedAt == 0 || t.Sub(d.started) > time.Duration(resumedAt)
}

// suspendedTime returns the total suspended time since boot, in nanoseconds.
func suspendedTime() int64 { return clockNanos(unix.CLOCK_BOOTTIME) - clockNanos(unix.CLOCK_MONOTONIC) }

func clockNanos(id int32) int64 {
	var ts unix.Timespec
	if err := unix.ClockGettime(id, &ts); err != nil {
		return 0 // unreachable: every supported kernel has both clocks
	}
	return ts.Nano()
}
