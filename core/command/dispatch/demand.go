package dispatch

import "time"

// Bounds of the time for which a reserve outlives the demand that caused it.
// Between them it is holdGaps times the observed gap between bursts.
const (
	holdGaps    = 2
	holdUnknown = time.Second // before a second burst was seen
	holdMin     = 250 * time.Millisecond
	holdMax     = 10 * time.Second
)

// demand follows how many items of short work are queued or running, and keeps
// the recent peak. A burst lasts while the demand is at least half of the peak.
type demand struct {
	current int
	peak    int
	below   int // highest demand at an arrival since the burst ended
	high    bool
	begun   time.Time // start of the latest burst
	ended   time.Time // end of the latest burst
	gap     time.Duration
}

// add counts n items that arrived.
func (d *demand) add(now time.Time, n int) {
	d.current += n
	if d.current*2 < d.peak {
		d.below = max(d.below, d.current)
		return
	}
	if !d.high {
		d.begin(now)
	}
	d.peak = max(d.peak, d.current)
}

func (d *demand) begin(now time.Time) {
	d.high = true
	if !d.begun.IsZero() {
		interval := now.Sub(d.begun)
		if d.gap == 0 {
			d.gap = interval
		}
		d.gap = (d.gap + interval) / 2
	}
	d.begun = now
}

// remove counts n items that ended.
func (d *demand) remove(now time.Time, n int) {
	d.current -= n
	if d.high && d.current*2 < d.peak {
		d.high, d.ended, d.below = false, now, 0
	}
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
	if at := d.expiry(); !at.IsZero() && !now.Before(at) {
		d.peak, d.ended, d.below = max(d.below, d.current), now, 0
	}
}

// retract takes n items out of the peak that turned out to be longer work.
func (d *demand) retract(n int) {
	d.peak = max(d.peak-n, d.current, 0)
	d.below = max(min(d.below, d.peak), 0)
}
