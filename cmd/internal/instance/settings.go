// Package instance assembles one instance of the system from its settings: a
// list of uber/fx modules chosen by its roles.
package instance

import (
	"slices"
	"time"

	"lacewingturn.example/core/model"
	"lacewingturn.example/node/server"
	"lacewingturn.example/node/telemetry"
)

// Role is a part that an instance plays.
type Role string

// Roles of an instance.
const (
	// RoleControl keeps a replica of the control state; it needs a disk.
	RoleControl Role = "control"
	// RoleEntry serves callers and targets.
	RoleEntry Role = "entry"
)

// Replica is the name and address of a control replica.
type Replica struct {
	Name       string
	Address    string // host:port for other processes of the system
	DataCenter string // empty if unknown
}

// Settings of one instance, checked and converted.
type Settings struct {
	Name   string
	Roles  []Role
	Domain model.Domain
	// InternalAddress serves other processes of the system.
	InternalAddress string
	// InternalListen is the address to listen on when others reach the internal
	// address through a forwarder; empty for the internal address itself.
	InternalListen string
	// PublicAddress serves callers and targets; role entry only.
	PublicAddress string
	// OperatorAddress serves operators; role control only.
	OperatorAddress string
	DataFolder      string
	// TargetVoters is the number of voters up to which replicas with new names
	// join by themselves; 0 for none.
	TargetVoters int
	// SnapshotEvery is the number of log entries between snapshots; that of the
	// replica if zero.
	SnapshotEvery int
	// InodesChange is set where disks are reattached with different inode numbers.
	InodesChange bool
	Replicas     []Replica
	// Join makes a control replica wait to be added to an existing group
	// instead of forming a new one.
	Join         bool
	PlatformURL  string
	InternalTLS  server.TLSFiles
	OperatorTLS  server.TLSFiles
	DrainTimeout time.Duration
	Log          telemetry.LogSettings
	// TraceEndpoint is the URL of an OTLP/HTTP collector; empty for none.
	TraceEndpoint string
	// RecordFolder receives recorded control inputs and traffic traces; empty for none.
	RecordFolder string
}

// Has reports whether the instance plays the role.
func (s Settings) Has(r Role) bool { return slices.Contains(s.Roles, r) }
