// Package query is the query half of an entry instance: readiness, targets and the
// traffic view. It reads the view that command.Machine publishes and changes
// nothing.
package query

import (
	"sync/atomic"
	"time"

	"lacewingturn.example/core/model"
	corequery "lacewingturn.example/core/query"
	"lacewingturn.example/entry"
)

// View is an immutable snapshot of the state of an entry instance, published by
// command.Machine on the control loop.
type View struct {
	Traffic  corequery.Traffic
	Services map[model.ServiceName]model.Service
	// RetryShare is the limit of retries as a share of requests.
	RetryShare float64
	// Contact is when the traffic view was last known to be current.
	Contact time.Time
	// LeaseUntil is when the membership of this instance ends unless renewed.
	LeaseUntil time.Time
	// Epoch identifies the membership; 0 before the first lease.
	Epoch uint64
	// Stopping is set once the instance has withdrawn its readiness.
	Stopping bool
	Targets  []Target
	// Queued is the number of queued requests of each service.
	Queued map[model.ServiceName]int
}

// Target is the state of a target as one entry instance sees it. Granted is the
// number of slots that the instance may use, InUse the number that it uses.
type Target struct {
	ID         model.TargetID    `json:"id"`
	Service    model.ServiceName `json:"service"`
	Address    string            `json:"address"`
	Generation uint64            `json:"generation"`
	Phase      string            `json:"phase"`
	Health     string            `json:"health"`
	Granted    int               `json:"granted"`
	InUse      int               `json:"in_use"`
}

// Ready reports whether the instance is ready for requests, and the reason if it
// is not. A nil View is not ready.
func (v *View) Ready(now time.Time) (bool, string) {
	switch {
	case v == nil || v.Traffic.Config == nil:
		return false, "no configuration is in force here yet"
	case v.Stopping:
		return false, "the instance is shutting down"
	case now.Sub(v.Contact) > entry.StaleAfter:
		return false, "no contact to the control state for more than " + entry.StaleAfter.String()
	case !now.Before(v.LeaseUntil):
		return false, "the membership of this instance has expired"
	}
	return true, "ready"
}

// Source holds the latest published view. It is safe for concurrent use.
type Source struct{ current atomic.Pointer[View] }

// Publish replaces the view. Only command.Machine calls it.
func (s *Source) Publish(v *View) { s.current.Store(v) }

// View returns the latest view, or nil before the first Publish.
func (s *Source) View() *View { return s.current.Load() }
