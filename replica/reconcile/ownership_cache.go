package reconcile

import (
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/query/ownership"
	"lacewingturn.example/core/table"
)

// ownershipCache holds, for each entry instance, the instances with a ready target
// that the entry instance owns. The owners of all targets (720 on a large site) are
// computed again only when the entry instances or the targets change.
type ownershipCache struct {
	entries   table.Table[model.EntryID, model.EntryMember]
	targets   table.Table[model.TargetID, model.Target]
	instances map[model.EntryID][]model.InstanceID
}

// inService returns the instances in service that have a ready target owned by the
// entry instance.
func (c *ownershipCache) inService(s model.State, id model.EntryID) []model.InstanceID {
	if c.instances == nil || !c.entries.Same(s.Entries) || !c.targets.Same(s.Targets) {
		c.rebuild(s)
	}
	var out []model.InstanceID
	for _, instance := range c.instances[id] {
		if i, ok := s.Instances.Get(instance); ok && i.Phase == model.PhaseActive {
			out = append(out, instance)
		}
	}
	return out
}

func (c *ownershipCache) rebuild(s model.State) {
	c.entries, c.targets = s.Entries, s.Targets
	c.instances = map[model.EntryID][]model.InstanceID{}
	for _, t := range s.Targets.All() {
		if t.Phase != model.TargetReady {
			continue
		}
		if e, ok := ownership.Owner(s.Entries, t.ID, ""); ok {
			c.instances[e.ID] = append(c.instances[e.ID], t.Instance)
		}
	}
}
