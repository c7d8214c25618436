package reconcile

import (
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/query/ownership"
	"lacewingturn.example/core/table"
)

// owned caches which entry instance owns the targets of which instances. The
// owner of 720 targets is worked out only when members or targets change.
type ownershipCache struct {
	entries   table.Table[model.EntryID, model.EntryMember]
	targets   table.Table[model.TargetID, model.Target]
	instances map[model.EntryID][]model.InstanceID
}

// inService returns the instances in service of which the entry instance owns
// a target that is ready.
func (o *ownershipCache) inService(s model.State, id model.EntryID) []model.InstanceID {
	if o.instances == nil || !o.entries.Same(s.Entries) || !o.targets.Same(s.Targets) {
		o.rebuild(s)
	}
	var out []model.InstanceID
	for _, instance := range o.instances[id] {
		if i, ok := s.Instances.Get(instance); ok && i.Phase == model.PhaseActive {
			out = append(out, instance)
		}
	}
	return out
}

func (o *ownershipCache) rebuild(s model.State) {
	o.entries, o.targets = s.Entries, s.Targets
	o.instances = map[model.EntryID][]model.InstanceID{}
	for _, t := range s.Targets.All() {
		if t.Phase != model.TargetReady {
			continue
		}
		if e, ok := ownership.Of(s.Entries, t.ID, ""); ok {
			o.instances[e.ID] = append(o.instances[e.ID], t.Instance)
		}
	}
}
