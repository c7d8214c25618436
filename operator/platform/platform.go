// Package platform holds the HTTP interface of the platform that drains and
// reboots instances, and a stub of it. The client is split into the packages
// command and query.
//
//	PUT /operations/{id}  begins an operation; repeating it changes nothing
//	GET /operations/{id}  tells how far it is; 404 if it was never received
//	GET /instances/{id}   tells whether the instance is up
//
// A drain ends what the platform itself placed on the instance. A reboot has
// succeeded once the instance was restarted; it may still be starting up.
package platform

import (
	"errors"
	"time"

	"lacewingturn.example/core/model"
)

// CallTimeout bounds one call. The operation goes on when the call gives up,
// and is asked about again.
const CallTimeout = 10 * time.Second

// MaxBody is the longest request or answer that is read, in bytes.
const MaxBody = 64 << 10

// ErrConflict means that the ID was used for another operation.
var ErrConflict = errors.New("platform: the ID belongs to another operation")

// State of an operation as the platform names it.
type State string

// States of an operation.
const (
	StateRunning   State = "running"
	StateSucceeded State = "succeeded"
	StateFailed    State = "failed"
)

// Kinds of operations as the platform names them.
const (
	KindDrain  = "drain"
	KindReboot = "reboot"
)

// Operation is the body of PUT and the answer about an operation.
type Operation struct {
	ID       model.OperationID `json:"id,omitempty"`
	Instance model.InstanceID  `json:"instance"`
	Kind     string            `json:"kind"`
	State    State             `json:"state,omitempty"`
	Reason   string            `json:"reason,omitempty"`
}

// Instance is the answer about an instance.
type Instance struct {
	ID model.InstanceID `json:"id"`
	Up bool             `json:"up"`
	// Boots counts the restarts of the instance.
	Boots int `json:"boots"`
}
