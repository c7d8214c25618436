package codec

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"lacewingturn.example/core/command/workload"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/table"
)

// image is the wire form of model.State, as used in snapshots. A table is encoded as
// the list of its values in key order. Derived tables are left out.
type image struct {
	Clock      model.Timestamp
	Index      model.Index
	Term       model.Term
	Traffic    model.Index
	Revision   model.Revision
	Config     *model.Config
	History    []model.ConfigRecord
	Instances  []model.Instance
	Waves      []model.Wave
	Moves      []model.Move
	Targets    []model.Target
	Entries    []model.EntryMember
	Replicas   []model.ReplicaMember
	Jobs       []model.Job
	Classes    []model.ClassEstimate
	Workers    []model.WorkerRecord
	Changes    []model.WorkerChange
	Claims     []model.Claim
	ClaimFloor model.Timestamp
	Requests   []model.RequestRecord
	Catalog    *model.Catalog
	Workloads  []workloadImage
	Finished   []model.FinishedWorkload
	Upkeeps    []model.Upkeep
	Orders     []model.InstanceOrder
	Rates      []model.AccountRate `cbor:",omitempty"`
}

// EncodeState returns the wire form of s. Equal states have equal encodings.
func EncodeState(s model.State) ([]byte, error) { return encoder.Marshal(imageOf(s)) }

func imageOf(s model.State) image {
	return image{
		Clock: s.Clock, Index: s.Index, Term: s.Term, Traffic: s.TrafficIndex, Revision: s.Revision, Config: s.Config,
		History: s.History.Values(), Instances: s.Instances.Values(), Waves: s.Waves.Values(), Moves: s.Moves.Values(),
		Targets: s.Targets.Values(), Entries: s.Entries.Values(), Replicas: s.Replicas.Values(),
		Jobs: s.Jobs.Values(), Classes: s.Classes.Values(), Workers: s.Workers.Values(), Changes: s.WorkerChanges.Values(),
		Claims: s.Claims.Values(), ClaimFloor: s.ClaimFloor, Requests: s.Requests.Values(),
		Catalog: s.Catalog, Workloads: encodeWorkloads(s.Workloads.Values()), Finished: s.Finished.Values(), Upkeeps: s.Upkeeps.Values(),
		Orders: s.Orders.Values(), Rates: s.AccountRates.Values(),
	}
}

// DecodeState decodes the wire form of a state and rebuilds the tables that are
// derived from it. It returns an error if the data is malformed.
func DecodeState(data []byte) (model.State, error) {
	var m image
	if err := decoder.Unmarshal(data, &m); err != nil {
		return model.State{}, fmt.Errorf("codec: decode state: %w", err)
	}
	workloads, err := decodeWorkloads(m.Workloads)
	if err != nil {
		return model.State{}, err
	}
	jobs := table.FromValues(m.Jobs, func(v model.Job) model.JobID { return v.ID })
	return workload.RebuildDerived(model.State{
		Clock: m.Clock, Index: m.Index, Term: m.Term, TrafficIndex: m.Traffic, Revision: m.Revision, Config: m.Config,
		History:       table.FromValues(m.History, func(v model.ConfigRecord) model.Revision { return v.Revision }),
		Instances:     table.FromValues(m.Instances, func(v model.Instance) model.InstanceID { return v.ID }),
		Waves:         table.FromValues(m.Waves, func(v model.Wave) model.WaveID { return v.ID }),
		Moves:         table.FromValues(m.Moves, func(v model.Move) model.MoveID { return v.ID }),
		Targets:       table.FromValues(m.Targets, func(v model.Target) model.TargetID { return v.ID }),
		Entries:       table.FromValues(m.Entries, func(v model.EntryMember) model.EntryID { return v.ID }),
		Replicas:      table.FromValues(m.Replicas, func(v model.ReplicaMember) model.ReplicaID { return v.ID }),
		Jobs:          jobs,
		JobIndex:      model.IndexJobs(jobs),
		Classes:       table.FromValues(m.Classes, func(v model.ClassEstimate) string { return v.Class }),
		Workers:       table.FromValues(m.Workers, func(v model.WorkerRecord) model.InstanceID { return v.Worker }),
		WorkerChanges: table.FromValues(m.Changes, func(v model.WorkerChange) model.InstanceID { return v.Worker }),
		Claims:        table.FromValues(m.Claims, func(v model.Claim) model.ClaimKey { return v.Key }),
		ClaimFloor:    m.ClaimFloor,
		Requests:      table.FromValues(m.Requests, func(v model.RequestRecord) model.RequestID { return v.ID }),
		Catalog:       m.Catalog,
		Workloads:     table.FromValues(workloads, func(v model.Workload) model.WorkloadID { return v.ID }),
		Finished:      table.FromValues(m.Finished, func(v model.FinishedWorkload) model.WorkloadID { return v.ID }),
		Upkeeps:       table.FromValues(m.Upkeeps, func(v model.Upkeep) model.UpkeepNumber { return v.Number }),
		Orders:        table.FromValues(m.Orders, func(v model.InstanceOrder) model.InstanceID { return v.Instance }),
		AccountRates:  table.FromValues(m.Rates, func(v model.AccountRate) model.AccountName { return v.Account }),
	}), nil
}

// fullImage is a state in the form of the releases before, see fullRound.
type fullImage struct {
	image
	Workloads []fullWorkload
}

type fullWorkload struct {
	model.Workload
	Rounds []fullRound
}

// Digest returns the hex SHA-256 of the state in the form of the releases before, which lists
// every task, so that digests can be compared with theirs. Replicas that have applied the same
// log have equal digests. It takes memory for every task and is for tests and recordings.
func Digest(s model.State) (string, error) {
	data, err := encodeFull(s)
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]), nil
}

// encodeFull returns the state in the form of the releases before.
func encodeFull(s model.State) ([]byte, error) {
	full := fullImage{image: imageOf(s), Workloads: make([]fullWorkload, 0, s.Workloads.Len())}
	for _, w := range s.Workloads.All() {
		full.Workloads = append(full.Workloads, fullWorkload{w, fullRounds(w.Rounds)})
	}
	return encoder.Marshal(full)
}
