// Package instance assembles one instance of the system from its settings. The
// roles of the instance select the uber/fx modules that it consists of.
package instance

import (
	"slices"
	"time"

	"lacewingturn.example/core/model"
	"lacewingturn.example/node/server"
	"lacewingturn.example/node/telemetry"
)

// Role is a function of an instance. An instance can have several.
type Role string

// Roles of an instance.
const (
	// RoleControl holds a replica of the control state, which needs a disk. On the
	// users' platform, an instance without a disk relays to the replicas instead.
	RoleControl Role = "control"
	// RoleEntry serves callers and targets.
	RoleEntry Role = "entry"
)

// Replica is the name and location of a control replica.
type Replica struct {
	Name       string
	Address    string // host:port for other processes of the system
	DataCenter string // empty if unknown
}

// Settings of one instance, validated and converted from their text form.
type Settings struct {
	Name   string
	Roles  []Role
	Domain model.Domain
	// InternalAddress serves other processes of the system.
	InternalAddress string
	// InternalListen is the address to listen on if other processes reach
	// InternalAddress through a forwarder; if empty, the instance listens on
	// InternalAddress.
	InternalListen string
	// PublicAddress serves callers and targets; role entry only.
	PublicAddress string
	// OperatorAddress serves operators; role control only.
	OperatorAddress string
	// DataFolder holds the durable state; role control only.
	DataFolder string
	// TargetVoters is the number of voters up to which replicas with new names are
	// added automatically; 0 disables this.
	TargetVoters int
	// SnapshotEvery is the number of log entries between snapshots; 0 selects the
	// default of the replica.
	SnapshotEvery int
	// InodesChange is set where the inode numbers of files can change when a
	// disk is attached again.
	InodesChange bool
	// Replicas lists the known control replicas; this instance can be one of them.
	Replicas []Replica
	// JoinOnly makes a control replica wait to be added to an existing group
	// instead of forming a new one.
	JoinOnly bool
	// PlatformURL is the base URL of the platform's drain and reboot interface;
	// if empty, no instance is rebooted. Role control only.
	PlatformURL string
	InternalTLS server.TLSFiles
	OperatorTLS server.TLSFiles
	// MemoryLimit is the memory of the process in bytes, of which connections and unfinished
	// requests may hold a share; 0 selects the default of the server.
	MemoryLimit int64
	// MaxDescriptors is the number of descriptors that the process may open; 0 selects the
	// limit of the operating system.
	MaxDescriptors int
	// DrainTimeout limits how long a graceful shutdown waits for requests in flight.
	DrainTimeout time.Duration
	Log          telemetry.LogSettings
	// TraceEndpoint is the URL of an OTLP/HTTP collector; empty for none.
	TraceEndpoint string
	// RecordFolder receives recorded control inputs and traffic traces; if empty,
	// nothing is recorded.
	RecordFolder string
}

// Has reports whether the instance has the role.
func (s Settings) Has(r Role) bool { return slices.Contains(s.Roles, r) }
