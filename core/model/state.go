package model

import "lacewingturn.example/core/table"

// State is the replicated control state. It is an immutable value: applying a
// command returns a new State, and readers may continue to use the old one.
type State struct {
	// Clock is the time of the last applied log entry. It never decreases.
	Clock Timestamp
	// Index and Term are the position and the term of the last applied log entry.
	Index Index
	Term  Term

	// TrafficIndex is the index of the last log entry that changed a part of the
	// state that entry instances use: configuration, instances, targets or entry
	// members.
	TrafficIndex Index

	Revision Revision
	Config   *Config
	History  table.Table[Revision, ConfigRecord]

	Instances table.Table[InstanceID, Instance]
	Waves     table.Table[WaveID, Wave]
	Moves     table.Table[MoveID, Move]

	Targets  table.Table[TargetID, Target]
	Entries  table.Table[EntryID, EntryMember]
	Replicas table.Table[ReplicaID, ReplicaMember]

	Jobs    table.Table[JobID, Job]
	Classes table.Table[string, ClassEstimate]
	Workers table.Table[InstanceID, WorkerRecord]
	// WorkerChanges tells a polling worker whether its assignments have changed.
	WorkerChanges table.Table[InstanceID, WorkerChange]
	// JobIndex is derived from Jobs. Package command/job keeps it up to date.
	JobIndex JobIndex

	Claims table.Table[ClaimKey, Claim]
	// ClaimFloor is the lower bound on the time of issue of idempotency keys. Older
	// keys are refused, because their claims may already have been deleted.
	ClaimFloor Timestamp

	Requests table.Table[RequestID, RequestRecord]

	// Catalog is nil until the first one is published.
	Catalog *Catalog
	// Workloads holds the workloads that have not ended, Finished those in a final
	// phase.
	Workloads table.Table[WorkloadID, Workload]
	// Stored is derived from Workloads. Package command/workload keeps it up to date.
	Stored StoredWork
	// AccountRates holds how much of its rate each account has used.
	AccountRates table.Table[AccountName, AccountRate]
	Finished     table.Table[WorkloadID, FinishedWorkload]
	// Assignments is derived from Workloads. Package command/workload keeps it up to
	// date.
	Assignments table.Table[WorkerID, Assignment]
	Upkeeps     table.Table[UpkeepNumber, Upkeep]
	// Orders holds the last order to the platform for each instance.
	Orders table.Table[InstanceID, InstanceOrder]
}
