package query

import (
	"cmp"
	"errors"
	"reflect"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/table"
)

// Traffic is the part of the control state that entry instances hold a copy of.
type Traffic struct {
	Term model.Term
	// Index is the log index of the last change of this part of the state.
	Index    model.Index
	Revision model.Revision
	// Config is the configuration without the parts that entry instances do not use.
	Config    *model.Config
	Instances table.Table[model.InstanceID, model.Instance]
	Targets   table.Table[model.TargetID, model.Target]
	Entries   table.Table[model.EntryID, model.EntryMember]
}

// TrafficDelta is the change from the traffic view at index From to that at To.
type TrafficDelta struct {
	Term      model.Term
	From, To  model.Index
	Revision  model.Revision
	Config    *model.Config // nil if unchanged
	Instances Changes[model.InstanceID, model.Instance]
	Targets   Changes[model.TargetID, model.Target]
	Entries   Changes[model.EntryID, model.EntryMember]
}

// Changes are the rows of one table that were added, replaced or removed.
type Changes[K cmp.Ordered, V any] struct {
	Set     []V
	Removed []K
}

// ErrGap means that a delta does not start at the index of the view held. The
// receiver must request a snapshot.
var ErrGap = errors.New("query: delta does not start at the index of the view held")

// ErrStale means that a delta or snapshot is older than the view held, in term,
// index or revision. The receiver keeps its view.
var ErrStale = errors.New("query: delta or snapshot is older than the view held")

// TrafficOf returns the traffic view of a state.
func TrafficOf(s model.State) Traffic {
	return Traffic{
		Term: s.Term, Index: s.TrafficIndex, Revision: s.Revision, Config: trafficConfig(s.Config),
		Instances: s.Instances, Targets: s.Targets, Entries: s.Entries,
	}
}

// trafficConfig returns the configuration without declared instances, teams and
// sources. At 720 instances these are 93 % of the configuration, which is sent to
// every entry instance at each change.
func trafficConfig(c *model.Config) *model.Config {
	if c == nil {
		return nil
	}
	trimmed := *c
	trimmed.Instances, trimmed.Teams, trimmed.Sources = nil, nil, nil
	return &trimmed
}

// DiffTraffic returns the delta from a to b.
func DiffTraffic(a, b Traffic) TrafficDelta {
	d := TrafficDelta{Term: b.Term, From: a.Index, To: b.Index, Revision: b.Revision}
	if a.Revision != b.Revision {
		d.Config = b.Config
	}
	d.Instances = diffTable(a.Instances, b.Instances)
	d.Targets = diffTable(a.Targets, b.Targets)
	d.Entries = diffTable(a.Entries, b.Entries)
	return d
}

func diffTable[K cmp.Ordered, V any](a, b table.Table[K, V]) Changes[K, V] {
	var c Changes[K, V]
	if a.Same(b) {
		return c
	}
	for k, v := range b.All() {
		if old, ok := a.Get(k); !ok || !reflect.DeepEqual(old, v) {
			c.Set = append(c.Set, v)
		}
	}
	for k := range a.All() {
		if !b.Has(k) {
			c.Removed = append(c.Removed, k)
		}
	}
	return c
}

// Apply returns the view with the delta applied. It returns ErrStale if the delta
// has an older term, index or revision than the view, and ErrGap if it does not
// start at the index of the view.
func (t Traffic) Apply(d TrafficDelta) (Traffic, error) {
	if d.Term < t.Term || d.To < t.Index || d.Revision < t.Revision {
		return t, ErrStale
	}
	if d.From != t.Index {
		return t, ErrGap
	}
	t.Term, t.Index, t.Revision = d.Term, d.To, d.Revision
	if d.Config != nil {
		t.Config = d.Config
	}
	t.Instances = applyChanges(t.Instances, d.Instances, func(v model.Instance) model.InstanceID { return v.ID })
	t.Targets = applyChanges(t.Targets, d.Targets, func(v model.Target) model.TargetID { return v.ID })
	t.Entries = applyChanges(t.Entries, d.Entries, func(v model.EntryMember) model.EntryID { return v.ID })
	return t, nil
}

func applyChanges[K cmp.Ordered, V any](t table.Table[K, V], c Changes[K, V], key func(V) K) table.Table[K, V] {
	for _, v := range c.Set {
		t = t.Set(key(v), v)
	}
	for _, k := range c.Removed {
		t = t.Delete(k)
	}
	return t
}

// Replace returns the snapshot next. It returns ErrStale and the view held if next
// has an older term, index or revision.
func (t Traffic) Replace(next Traffic) (Traffic, error) {
	if next.Term < t.Term || next.Index < t.Index || next.Revision < t.Revision {
		return t, ErrStale
	}
	return next, nil
}
