package near

import (
	"math"
	"slices"
	"time"

	"lacewingturn.example/core/model"
)

// Never is the wait for a place that will not become free.
const Never = time.Duration(math.MaxInt64)

// Release is capacity that is expected to become free.
type Release struct {
	In   time.Duration // from now
	Size model.Resources
}

// Forecast predicts when capacity becomes free on the workers of one rack, with the runs
// that are booked on it. Expected times only grow as runs are booked.
type Forecast struct {
	hosts []host
	// atLeast holds, for tasks that any worker of the rack may run, a lower bound of the
	// time until one fits. It keeps the cost of many tasks that want the same rack low.
	atLeast map[model.Resources]time.Duration
}

// host is the predicted capacity of one worker. Bookings are made in the order of their
// times.
type host struct {
	from time.Duration // when free was last changed; a booking is never earlier
	free model.Resources
	ends []Release // later than from, in the order of their times
}

// Room returns how many more tasks of a step the host may run, whatever its capacity.
type Room func(host int) int

// AnyNumber is a Room that does not limit the tasks.
func AnyNumber(int) int { return math.MaxInt }

// NewForecast returns a forecast without hosts.
func NewForecast() *Forecast { return &Forecast{atLeast: map[model.Resources]time.Duration{}} }

// AddHost adds a host that is available after the given time with the free capacity, and
// more after each release. It returns the number of the host.
func (f *Forecast) AddHost(from time.Duration, free model.Resources, ends []Release) int {
	slices.SortStableFunc(ends, byTime)
	f.hosts = append(f.hosts, host{from, free, ends})
	return len(f.hosts) - 1
}

func byTime(a, b Release) int { return int(min(1, max(-1, a.In-b.In))) }

// Earliest returns the host on which a task first fits, and when. The time is Never if it
// is later than the limit.
func (f *Forecast) Earliest(need model.Resources, limit time.Duration, room Room) (int, time.Duration) {
	best, at := -1, Never
	for i := range f.hosts {
		if room != nil && room(i) <= 0 {
			continue
		}
		if t := f.hosts[i].earliest(need, min(limit, at-1)); t != Never {
			best, at = i, t
		}
	}
	return best, at
}

// EarliestAnywhere is Earliest for tasks that any host may run.
func (f *Forecast) EarliestAnywhere(need model.Resources, limit time.Duration) (int, time.Duration) {
	if f.atLeast[need] > limit {
		return -1, Never
	}
	i, at := f.Earliest(need, limit, nil)
	if at == Never {
		f.atLeast[need] = limit + 1
	}
	return i, at
}

// Book reserves capacity on the host from the given time for a run of the given length. The
// capacity is not released if the length is unknown, 0.
func (f *Forecast) Book(i int, at time.Duration, need model.Resources, run time.Duration) {
	f.hosts[i].book(at, need, run)
}

// EarliestGang returns the hosts on which the members of a gang first fit together, and when.
// The time is Never if it is later than the limit.
func (f *Forecast) EarliestGang(need model.Resources, count int, limit time.Duration, room Room) ([]int, time.Duration) {
	trial := f.clone()
	members := make([]int, 0, count)
	used := map[int]int{}
	latest := time.Duration(0)
	for range count {
		i, at := trial.Earliest(need, limit, func(host int) int { return room(host) - used[host] })
		if at == Never {
			return nil, Never
		}
		trial.Book(i, at, need, 0)
		members = append(members, i)
		used[i]++
		latest = max(latest, at)
	}
	return members, latest
}

// FitsAll reports whether as many tasks as given all fit, each for a run of the given length,
// by the limit.
func (f *Forecast) FitsAll(need model.Resources, count int, run, limit time.Duration, room Room) bool {
	trial := f.clone()
	used := map[int]int{}
	for range count {
		i, at := trial.Earliest(need, limit, func(host int) int { return room(host) - used[host] })
		if at == Never {
			return false
		}
		trial.Book(i, at, need, run)
		used[i]++
	}
	return true
}

func (f *Forecast) clone() *Forecast {
	hosts := slices.Clone(f.hosts)
	for i := range hosts {
		hosts[i].ends = slices.Clone(hosts[i].ends)
	}
	return &Forecast{hosts: hosts}
}

// earliest returns when the need first fits on the host; Never if that is later than the
// limit.
func (h *host) earliest(need model.Resources, limit time.Duration) time.Duration {
	at, free := h.from, h.free
	for _, end := range h.ends {
		if at > limit || free.Fits(need) {
			break
		}
		at, free = end.In, free.Add(end.Size)
	}
	if at > limit || !free.Fits(need) {
		return Never
	}
	return at
}

func (h *host) book(at time.Duration, need model.Resources, run time.Duration) {
	for len(h.ends) > 0 && h.ends[0].In <= at {
		h.free = h.free.Add(h.ends[0].Size)
		h.ends = h.ends[1:]
	}
	h.from = max(h.from, at)
	h.free = h.free.Sub(need)
	if run <= 0 {
		return
	}
	end := Release{h.from + run, need}
	i, _ := slices.BinarySearchFunc(h.ends, end, byTime)
	h.ends = slices.Insert(h.ends, i, end)
}
