package query

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"lacewingturn.example/core/budget"
	"lacewingturn.example/core/model"
)

// LocalStatus is what a replica knows that is not in the replicated state: the leader,
// and on the leader the entry instances that have contacted it.
type LocalStatus struct {
	Replica model.ReplicaID
	Term    model.Term
	Leader  model.ReplicaID // empty if unknown
	// IsLeader is true on the leader. Entries is empty on all other replicas.
	IsLeader bool
	// SinceLeaderContact is the time since the last contact with a leader; on the
	// leader, since the last contact with a quorum.
	SinceLeaderContact time.Duration
	Entries            []EntryContact
}

// EntryContact is what the leader knows about one entry instance from its renewals.
type EntryContact struct {
	ID       model.EntryID
	Epoch    uint64
	Revision model.Revision
	// Renewed is true if the instance has renewed its membership since this leader
	// was elected.
	Renewed      bool
	SinceRenewal time.Duration
}

// StatusView is the body of the status query.
type StatusView struct {
	Site              string         `json:"site"`
	Replica           string         `json:"replica"`  // the answering replica
	Term              uint64         `json:"term"`     // election term
	Index             uint64         `json:"index"`    // last applied log entry
	Revision          uint64         `json:"revision"` // configuration in force
	Catalog           int64          `json:"catalog"`  // version of the catalog of queues in force; 0 if none
	Leader            string         `json:"leader"`   // empty if unknown
	Leads             bool           `json:"leads"`    // whether the answering replica is the leader
	SilentMs          int64          `json:"silent_ms"`
	InForceEverywhere bool           `json:"in_force_everywhere"` // true only on the leader, if all entry instances have the revision in force
	Entries           []EntryStatus  `json:"entries"`
	Replicas          []ReplicaState `json:"replicas"`
	Counts            Counts         `json:"counts"`
	Stored            Stored         `json:"stored"` // memory of workloads
	// Warnings are conditions that need an operator's attention, one sentence each.
	Warnings []string `json:"warnings"`
}

// Stored shows the memory that workloads take on a replica, as their budget counts it.
type Stored struct {
	Bytes   int64          `json:"bytes"`   // of workloads that have not ended, and of the outcomes of others
	Ended   int            `json:"ended"`   // outcomes that are kept
	Largest []StoredHolder `json:"largest"` // client accounts, and queues for work without one
}

// StoredHolder is who stored work counts for. Bytes is what its workloads took when they were
// accepted.
type StoredHolder struct {
	Name  string `json:"name"`
	Bytes int64  `json:"bytes"`
}

// EntryStatus is one entry instance and the revision that it has applied.
type EntryStatus struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Known      bool   `json:"known"` // has renewed with the answering leader in its current epoch
	Revision   uint64 `json:"revision"`
	SilentMs   int64  `json:"silent_ms"`
	InForce    bool   `json:"in_force"`
}

// ReplicaState is one control replica in the status view.
type ReplicaState struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Voter      bool   `json:"voter"`
}

// Counts are the numbers of objects in the control state.
type Counts struct {
	Instances   map[string]int `json:"instances"` // by phase
	Quarantined int            `json:"quarantined"`
	Targets     map[string]int `json:"targets"` // by phase
	Waves       map[string]int `json:"waves"`   // by phase, without those that have ended
	Moves       int            `json:"moves"`   // not ended
	Jobs        map[string]int `json:"jobs"`    // by phase
	Claims      int            `json:"claims"`
	Workloads   map[string]int `json:"workloads"` // by phase
	Upkeeps     int            `json:"upkeeps"`   // not complete
}

// Status returns the status view of the answering replica.
func Status(s model.State, local LocalStatus) StatusView {
	v := StatusView{
		Replica: string(local.Replica), Term: uint64(local.Term), Index: uint64(s.Index), Revision: uint64(s.Revision),
		Leader: string(local.Leader), Leads: local.IsLeader, SilentMs: local.SinceLeaderContact.Milliseconds(),
		InForceEverywhere: local.IsLeader && len(EntriesWithoutRevision(s, local, s.Revision)) == 0,
		Entries:           entryStatus(s, local), Replicas: []ReplicaState{}, Counts: counts(s), Stored: stored(s), Warnings: warnings(s, local),
	}
	if s.Config != nil {
		v.Site = s.Config.Site
	}
	if s.Catalog != nil {
		v.Catalog = int64(s.Catalog.Version)
	}
	for _, r := range s.Replicas.All() {
		v.Replicas = append(v.Replicas, ReplicaState{ID: string(r.ID), Address: r.Address, DataCentre: r.Domain.DataCenter, Voter: r.Voter})
	}
	return v
}

// EntriesWithoutRevision returns the IDs of the entry instances that are not known to
// have applied the revision. The result is meaningful only on the leader; other
// replicas list all entry instances. An unreachable instance is listed until its
// membership lease has expired.
func EntriesWithoutRevision(s model.State, local LocalStatus, revision model.Revision) []string {
	out := []string{}
	for _, e := range entryStatus(s, local) {
		if !e.Known || e.Revision < uint64(revision) {
			out = append(out, e.ID)
		}
	}
	return out
}

// maxHolders is the number of holders that the status lists.
const maxHolders = 5

func stored(s model.State) Stored {
	v := Stored{Bytes: s.StoredBytes(), Ended: s.Finished.Len(), Largest: []StoredHolder{}}
	for h, bytes := range s.Stored.ByHolder.All() {
		v.Largest = append(v.Largest, StoredHolder{string(h), bytes})
	}
	slices.SortFunc(v.Largest, func(a, b StoredHolder) int { return cmp.Or(cmp.Compare(b.Bytes, a.Bytes), cmp.Compare(a.Name, b.Name)) })
	v.Largest = v.Largest[:min(len(v.Largest), maxHolders)]
	return v
}

func entryStatus(s model.State, local LocalStatus) []EntryStatus {
	contacts := map[model.EntryID]EntryContact{}
	for _, e := range local.Entries {
		contacts[e.ID] = e
	}
	out := []EntryStatus{}
	for _, m := range s.Entries.All() {
		e := EntryStatus{ID: string(m.ID), Address: m.Address, DataCentre: m.Domain.DataCenter}
		if k, ok := contacts[m.ID]; ok && k.Renewed && k.Epoch == m.Epoch {
			e.Known, e.Revision, e.SilentMs = true, uint64(k.Revision), k.SinceRenewal.Milliseconds()
			e.InForce = k.Revision >= s.Revision
		}
		out = append(out, e)
	}
	return out
}

func counts(s model.State) Counts {
	c := Counts{Instances: map[string]int{}, Targets: map[string]int{}, Waves: map[string]int{}, Jobs: map[string]int{}, Workloads: map[string]int{}, Claims: s.Claims.Len()}
	for _, i := range s.Instances.All() {
		c.Instances[i.Phase.String()]++
		if i.Quarantined {
			c.Quarantined++
		}
	}
	for _, t := range s.Targets.All() {
		c.Targets[t.Phase.String()]++
	}
	for _, w := range s.Waves.All() {
		if !w.Phase.Ended() {
			c.Waves[w.Phase.String()]++
		}
	}
	for _, m := range s.Moves.All() {
		if !m.Phase.Ended() {
			c.Moves++
		}
	}
	for _, j := range s.Jobs.All() {
		c.Jobs[j.Phase.String()]++
	}
	for _, w := range s.Workloads.All() {
		c.Workloads[workloadPhase(w).String()]++
	}
	for _, f := range s.Finished.All() {
		c.Workloads[f.Phase.String()]++
	}
	for _, u := range s.Upkeeps.All() {
		if !u.Complete() {
			c.Upkeeps++
		}
	}
	return c
}

// maxLeaderSilence is the time without contact to a leader after which the state of
// a replica may be out of date. It equals the longest election timeout.
const maxLeaderSilence = 900 * time.Millisecond

func warnings(s model.State, local LocalStatus) []string {
	out := []string{}
	warn := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	if local.Leader == "" || local.SinceLeaderContact > maxLeaderSilence {
		warn("replica %s has had no contact with a leader for %s; what follows may be out of date", local.Replica, local.SinceLeaderContact.Round(time.Millisecond))
	}
	if s.Config == nil && s.Catalog != nil {
		return out // this site is controlled by a catalog instead of a configuration
	}
	if s.Config == nil {
		warn("no configuration has been accepted yet")
		return out
	}
	usage := budget.ForState(s)
	for _, p := range s.Config.Pools {
		if u := usage[p.Name]; u.Headroom() < 0 {
			warn("pool %s has %d of %d instances available and must keep %d; planned work has stopped", p.Name, u.Available, u.Members, u.MinAvailable())
		}
	}
	for _, w := range s.Waves.All() {
		if w.Phase == model.WaveStopped {
			warn("wave %s was stopped: %s", w.ID, w.Reason)
		}
	}
	for _, i := range s.Instances.All() {
		switch {
		case i.Phase == model.PhaseLost || i.Phase == model.PhaseFailed:
			warn("instance %s of pool %s is %s", i.ID, i.Pool, i.Phase)
		case i.Quarantined:
			warn("instance %s of pool %s is quarantined and gets no jobs", i.ID, i.Pool)
		}
	}
	return out
}
