package credit

import "time"

// Heartbeats of targets are most of the control traffic of an entry instance: each one is
// received and, unless the receiver owns the target, forwarded to the owner. The interval
// bounds them to 20 heartbeats a second for each entry instance.
const (
	minInterval       = 500 * time.Millisecond
	intervalPerTarget = 50 * time.Millisecond
)

// minTimeout is the shortest time without a heartbeat after which a target is announced as
// lost.
const minTimeout = 5 * time.Second

// maxMissedHeartbeats is the number of heartbeat intervals without a heartbeat after which a
// target counts as lost.
const maxMissedHeartbeats = 3

// HeartbeatInterval returns the interval between two heartbeats of one target, for the
// given numbers of targets and entry instances of the site.
func HeartbeatInterval(targets, members int) time.Duration {
	return max(minInterval, time.Duration(targets)*intervalPerTarget/time.Duration(max(members, 1)))
}

// HeartbeatTimeout returns the time without a heartbeat after which a target is announced
// as lost, for targets that send one every interval.
func HeartbeatTimeout(interval time.Duration) time.Duration {
	return max(minTimeout, maxMissedHeartbeats*interval)
}
