// Package query is the read half of an entry instance: readiness, targets and
// the traffic view. It reads the view that the entry machine publishes and
// changes nothing.
package query

import (
	"sync/atomic"
	"time"

	"lacewingturn.example/core/model"
	corequery "lacewingturn.example/core/query"
	"lacewingturn.example/entry"
)

// View is an immutable picture of an entry instance, published by its loop.
type View struct {
	Traffic  corequery.Traffic
	Services map[model.ServiceName]model.Service
	// RetryShare bounds retries as a share of requests.
	RetryShare float64
	// Contact is when the traffic view was last known to be current.
	Contact time.Time
	// LeaseUntil is when the membership of this instance ends unless renewed.
	LeaseUntil time.Time
	Epoch      uint64
	Stopping   bool
	Targets    []Target
	Queued     map[model.ServiceName]int
}

// Target is what one entry instance knows about a target.
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

// Ready reports whether the instance may serve, and if not, why.
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

// Source gives the latest published view; the view is nil before the first.
type Source struct{ current atomic.Pointer[View] }

// Publish replaces the view. Only the entry machine calls it.
func (s *Source) Publish(v *View) { s.current.Store(v) }

// View returns the latest view.
func (s *Source) View() *View { return s.current.Load() }
