package dispatch

import (
	"math"
	"slices"
	"time"
)

// Bounds of the time for which a reserve outlives the demand that caused it.
// Between them it is holdGaps times the observed gap between bursts.
const (
	holdGaps    = 2
	holdUnknown = time.Second // before a second burst was seen
	holdMin     = 250 * time.Millisecond
	holdMax     = 10 * time.Second
)

// A burst begins when the demand reaches the first part of the recent peak and
// ends when it falls below the second. The distance keeps the fluctuation of
// steady demand from looking like bursts.
const (
	beginShare = 2
	endShare   = 3
)

// demand follows how many items of short work are queued or running, and keeps
// the recent peak.
type demand struct {
	current int
	peak    int
	below   int // highest demand at an arrival since the burst ended
	high    bool
	begun   time.Time     // start of the latest burst
	ended   time.Time     // end of the latest burst
	gap     time.Duration // typical time between the starts of bursts; 0 if unknown
	gaps    [recentGaps]time.Duration
	bursts  int
	average float64 // during a burst, over about averageOver
	updated time.Time
	recent  int       // highest demand since rolled, during a burst
	rolled  time.Time // when the peak of a long burst was last brought up to date
}

// averageOver is the time constant of the average demand during a burst.
const averageOver = time.Second

// steadyMargin is the reserve for a steady demand above its average, in
// standard deviations of independent arrivals.
const steadyMargin = 2

// rollEvery is how often the peak of a burst that goes on is replaced by the
// highest demand in that time, so that a backlog at its start is forgotten.
const rollEvery = 2 * time.Second

// recentGaps is the number of gaps of which the shortest tells how soon the
// next burst may start.
const recentGaps = 4

// add counts n items that arrived.
func (d *demand) add(now time.Time, n int) {
	d.current += n
	if !d.high && d.current*beginShare < d.peak {
		d.below = max(d.below, d.current)
		return
	}
	if !d.high {
		d.begin(now)
	}
	d.peak = max(d.peak, d.current)
	d.recent = max(d.recent, d.current)
}

func (d *demand) begin(now time.Time) {
	d.high, d.recent, d.rolled = true, 0, now
	d.average, d.updated = float64(d.current), now
	if !d.begun.IsZero() {
		interval := now.Sub(d.begun)
		if d.gap == 0 {
			d.gap = interval
		}
		d.gap = (d.gap + interval) / 2
		d.gaps[d.bursts%recentGaps] = interval
		d.bursts++
	}
	d.begun = now
}

// remove counts n items that ended.
func (d *demand) remove(now time.Time, n int) {
	d.current -= n
	if d.high && d.current*endShare < d.peak {
		d.high, d.ended, d.below = false, now, 0
	}
}

// next returns the earliest time at which the next burst is expected; zero
// during a burst or if that is unknown.
func (d *demand) next() time.Time {
	if d.high || d.bursts == 0 {
		return time.Time{}
	}
	return d.begun.Add(slices.Min(d.gaps[:min(d.bursts, recentGaps)]))
}

// expiry returns when the peak will be given up; zero during a burst.
func (d *demand) expiry() time.Time {
	if d.high || d.peak == 0 {
		return time.Time{}
	}
	hold := holdUnknown
	if d.gap > 0 {
		hold = min(max(holdGaps*d.gap, holdMin), holdMax)
	}
	return d.ended.Add(hold)
}

// decay lowers the peak to the demand seen since the burst once the hold is over.
func (d *demand) decay(now time.Time) {
	if over := min(averageOver, now.Sub(d.begun)); over > 0 {
		d.average += min(1, float64(now.Sub(d.updated))/float64(over)) * (float64(d.current) - d.average)
		d.updated = now
	}
	if d.high && now.Sub(d.rolled) >= rollEvery {
		d.peak = max(d.recent, d.current)
		d.recent, d.rolled = d.current, now
	}
	if at := d.expiry(); !at.IsZero() && !now.Before(at) {
		d.peak, d.ended, d.below = max(d.below, d.current), now, 0
	}
}

// retract takes n items out of the peak that turned out to be longer work.
func (d *demand) retract(n int) {
	d.peak = max(d.peak-n, d.current, 0)
	d.below = max(min(d.below, d.peak), 0)
}

// expected returns the demand to keep slots for: the peak, or less in a burst
// that has lasted for some time.
func (d *demand) expected(now time.Time) int {
	if d.high && now.Sub(d.begun) >= rollEvery {
		return max(d.current, min(d.peak, int(d.average+steadyMargin*math.Sqrt(d.average))))
	}
	return d.peak
}

// least returns the demand to keep slots for when the reserve may not leave
// slots idle for long.
func (d *demand) least() int {
	if d.high {
		return max(d.current, int(d.average))
	}
	return d.current
}
