package credit

import "time"

// Heartbeats of targets take most of what control costs an entry instance: each
// one is received and, unless the receiver owns the target, passed on. The pace
// keeps that to 20 heartbeats a second for each entry instance.
const (
	minPace       = 500 * time.Millisecond
	pacePerTarget = 50 * time.Millisecond
)

// minSilence is the shortest silence after which a target is announced as lost.
const minSilence = 5 * time.Second

// missedBeats is the number of heartbeats that may be missed in a row.
const missedBeats = 3

// Pace returns the time between two heartbeats of one target.
func Pace(targets, members int) time.Duration {
	return max(minPace, time.Duration(targets)*pacePerTarget/time.Duration(max(members, 1)))
}

// Silence returns the silence after which a target is announced as lost.
func Silence(pace time.Duration) time.Duration { return max(minSilence, missedBeats*pace) }
