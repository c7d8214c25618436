package model

import "lacewingturn.example/core/table"

// State is the replicated control state. It is a value: applying a command
// gives a new State and leaves the old one valid for its readers.
type State struct {
	// Clock is the time stamp of the last applied entry; it never goes back.
	Clock Timestamp
	// Index and Term are those of the last applied entry.
	Index Index
	Term  Term

	// TrafficIndex is the index of the last entry that changed what entry
	// instances use: configuration, instances, targets or entry members.
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
	// WorkerChanges tells workers whether what they are asked to run has changed.
	WorkerChanges table.Table[InstanceID, WorkerChange]
	// JobIndex is derived from Jobs and kept in step by command/job.
	JobIndex JobIndex

	Claims table.Table[ClaimKey, Claim]
	// ClaimFloor refuses keys issued before it, because claims of that age may
	// have been dropped.
	ClaimFloor Timestamp

	Requests table.Table[RequestID, RequestRecord]

	// Catalog is nil until the first one is published.
	Catalog *Catalog
	// Workloads are those that are not in a final phase, Finished the others.
	Workloads table.Table[WorkloadID, Workload]
	Finished  table.Table[WorkloadID, FinishedWorkload]
	// Assignments is derived from Workloads and kept in step by command/workload.
	Assignments table.Table[WorkerID, Assignment]
	Upkeeps     table.Table[UpkeepNumber, Upkeep]
	// Orders holds the last order to the platform for each instance.
	Orders table.Table[InstanceID, InstanceOrder]
}
