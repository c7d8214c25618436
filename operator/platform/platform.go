// Package platform defines the HTTP interface of the platform that drains and
// reboots instances, and a stub of that platform for tests and demos. The client is
// split into the packages command and query.
//
//	PUT /operations/{id}  starts an operation; it is idempotent
//	GET /operations/{id}  returns the state of an operation; 404 if it was never received
//	GET /instances/{id}   returns whether the instance is up
//
// A drain ends the work that the platform itself placed on the instance. A reboot
// succeeds once the instance has restarted; it may still be starting up.
package platform

import (
	"errors"
	"time"

	"lacewingturn.example/core/model"
)

// CallTimeout bounds one call. The operation continues after a timeout, and its
// state is queried later.
const CallTimeout = 10 * time.Second

// MaxBody is the size in bytes up to which a request or response body is read.
const MaxBody = 64 << 10

// ErrConflict means that the operation ID is already used for another instance or
// kind. Retrying with the same ID does not help.
var ErrConflict = errors.New("platform: the ID belongs to another operation")

// State is the state of an operation in the platform's JSON.
type State string

// States of an operation. StateSucceeded and StateFailed are final.
const (
	StateRunning   State = "running"
	StateSucceeded State = "succeeded"
	StateFailed    State = "failed"
)

// Kinds of operations in the platform's JSON.
const (
	KindDrain  = "drain"
	KindReboot = "reboot"
)

// Operation is the body of PUT /operations/{id}, where only Instance and Kind count,
// and of the responses about an operation. Reason says why a failed one failed.
type Operation struct {
	ID       model.OperationID `json:"id,omitempty"`
	Instance model.InstanceID  `json:"instance"`
	Kind     string            `json:"kind"`
	State    State             `json:"state,omitempty"`
	Reason   string            `json:"reason,omitempty"`
}

// Instance is the body of the response to GET /instances/{id}.
type Instance struct {
	ID model.InstanceID `json:"id"`
	Up bool             `json:"up"`
	// Boots counts the reboots that the platform has started.
	Boots int `json:"boots"`
}
