package dispatch

import (
	"math"
	"slices"
	"time"
)

// A reserve is kept for some time after the burst that caused it. That time is
// retentionIntervals times the observed interval between bursts, at least retentionMin and at
// most retentionMax.
const (
	retentionIntervals = 2
	retentionDefault   = time.Second // until a second burst has been observed
	retentionMin       = 250 * time.Millisecond
	retentionMax       = 10 * time.Second
)

// A burst begins when the demand reaches 1/burstStartDivisor of the recent peak and ends when
// it falls below 1/burstEndDivisor of it. The gap between the two thresholds (hysteresis) keeps
// fluctuations of a steady demand from counting as bursts.
const (
	burstStartDivisor = 2
	burstEndDivisor   = 3
)

// demand tracks how many short items are queued or running, and their recent peak.
type demand struct {
	current        int
	peak           int
	peakSinceBurst int // highest demand at an arrival since burstEnd
	inBurst        bool
	burstStart     time.Time                      // start of the latest burst
	burstEnd       time.Time                      // end of the latest burst
	meanInterval   time.Duration                  // smoothed interval between the starts of two bursts; 0 if unknown
	intervals      [recentIntervals]time.Duration // latest intervals, as a ring buffer
	intervalCount  int                            // number of intervals recorded so far
	average        float64                        // moving average of current since burstStart, with time constant averageOver
	averagedAt     time.Time
	windowPeak     int       // highest demand since windowStart, during a burst
	windowStart    time.Time // when the burst began or, in a long burst, when its peak was last replaced
}

// averageOver is the time constant of the average demand during a burst.
const averageOver = time.Second

// steadyMargin is how far the reserve for a steady demand exceeds its average, in standard
// deviations of independent arrivals.
const steadyMargin = 2

// peakWindow is how often, during a long burst, the peak is replaced by the highest demand of
// the last peakWindow, so that a backlog at the start of the burst no longer counts.
const peakWindow = 2 * time.Second

// recentIntervals is the number of latest intervals between bursts that are considered; the shortest
// of them gives the earliest start of the next burst.
const recentIntervals = 4

// add records the arrival of n items.
func (d *demand) add(now time.Time, n int) {
	d.current += n
	if !d.inBurst && d.current*burstStartDivisor < d.peak {
		d.peakSinceBurst = max(d.peakSinceBurst, d.current)
		return
	}
	if !d.inBurst {
		d.beginBurst(now)
	}
	d.peak = max(d.peak, d.current)
	d.windowPeak = max(d.windowPeak, d.current)
}

func (d *demand) beginBurst(now time.Time) {
	d.inBurst, d.windowPeak, d.windowStart = true, 0, now
	d.average, d.averagedAt = float64(d.current), now
	if !d.burstStart.IsZero() {
		interval := now.Sub(d.burstStart)
		if d.meanInterval == 0 {
			d.meanInterval = interval
		}
		d.meanInterval = (d.meanInterval + interval) / 2
		d.intervals[d.intervalCount%recentIntervals] = interval
		d.intervalCount++
	}
	d.burstStart = now
}

// remove records the end of n items.
func (d *demand) remove(now time.Time, n int) {
	d.current -= n
	if d.inBurst && d.current*burstEndDivisor < d.peak {
		d.inBurst, d.burstEnd, d.peakSinceBurst = false, now, 0
	}
}

// nextBurst returns the earliest expected start of the next burst. It is zero during a burst
// and while no interval between bursts is known.
func (d *demand) nextBurst() time.Time {
	if d.inBurst || d.intervalCount == 0 {
		return time.Time{}
	}
	return d.burstStart.Add(slices.Min(d.intervals[:min(d.intervalCount, recentIntervals)]))
}

// peakExpiry returns when the recorded peak expires; zero during a burst or without a peak.
func (d *demand) peakExpiry() time.Time {
	if d.inBurst || d.peak == 0 {
		return time.Time{}
	}
	retention := retentionDefault
	if d.meanInterval > 0 {
		retention = min(max(retentionIntervals*d.meanInterval, retentionMin), retentionMax)
	}
	return d.burstEnd.Add(retention)
}

// decay updates the average. During a long burst it replaces the peak every peakWindow; after
// a burst, once the retention time is over, it lowers the peak to the highest demand since the
// end of the burst.
func (d *demand) decay(now time.Time) {
	if window := min(averageOver, now.Sub(d.burstStart)); window > 0 {
		d.average += min(1, float64(now.Sub(d.averagedAt))/float64(window)) * (float64(d.current) - d.average)
		d.averagedAt = now
	}
	if d.inBurst && now.Sub(d.windowStart) >= peakWindow {
		d.peak = max(d.windowPeak, d.current)
		d.windowPeak, d.windowStart = d.current, now
	}
	if at := d.peakExpiry(); !at.IsZero() && !now.Before(at) {
		d.peak, d.burstEnd, d.peakSinceBurst = max(d.peakSinceBurst, d.current), now, 0
	}
}

// retract lowers the peak by n items that were counted as short and turned out to be longer
// work.
func (d *demand) retract(n int) {
	d.peak = max(d.peak-n, d.current, 0)
	d.peakSinceBurst = max(min(d.peakSinceBurst, d.peak), 0)
}

// expected returns the demand to reserve slots for: the peak or, in a burst that has lasted for
// peakWindow, the average plus steadyMargin standard deviations if that is less, but at least the
// current demand.
func (d *demand) expected(now time.Time) int {
	if d.inBurst && now.Sub(d.burstStart) >= peakWindow {
		return max(d.current, min(d.peak, int(d.average+steadyMargin*math.Sqrt(d.average))))
	}
	return d.peak
}

// expectedMin returns the demand to reserve slots for when the allowance of idle slot time is
// used up: in a burst the average or the current demand, whichever is higher, otherwise the
// current demand.
func (d *demand) expectedMin() int {
	if d.inBurst {
		return max(d.current, int(d.average))
	}
	return d.current
}
