// Package command is the half of an entry instance that changes state: caller
// requests, target announcements, dispatch and slot credits. The Machine holds
// the state and belongs to the control loop; everything else runs on traffic
// goroutines and talks to it by messages.
package command

import (
	"sync/atomic"
	"time"

	"lacewingturn.example/core/command/credit"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// Messages from traffic goroutines to the machine.
type (
	// arrival asks for a target. Exactly one decision follows on reply, which
	// has room for it.
	arrival struct {
		id       uint64
		service  model.ServiceName
		caller   model.CallerID
		deadline time.Time
		retry    bool           // counts against the retry budget
		avoid    model.TargetID // target that failed before; used only if no other has room
		reply    chan decision
	}
	// admission asks whether a request that needs a claim would be queued, so
	// that no claim is committed for one that would be refused. If the decision
	// on reply, which has room for it, is OK, a claimClosed follows later.
	admission struct {
		service model.ServiceName
		caller  model.CallerID
		reply   chan decision
	}
	// claimClosed ends an admission: the outcome of the claim is recorded.
	claimClosed struct{}
	// cancellation withdraws an arrival. If it is still queued, a decision
	// with code CallerGone follows; otherwise the decision was made already.
	cancellation struct{ id uint64 }
	// completion ends the use of a slot.
	completion struct {
		id     uint64
		sample sample
	}
	// heartbeat of a target; forwarded is set if another entry instance sent it.
	heartbeat struct {
		credit.Heartbeat
		forwarded bool
	}
	// checked is the result of a check on a new connection.
	checked struct {
		target   destination
		answered bool
	}
	// withdraw ends the readiness of the instance; it still serves.
	withdraw struct{}
	// drain refuses new requests. When no request is queued or in flight, done,
	// which has room for it, gets the time when the last credit granted ends.
	drain struct{ done chan time.Time }
)

// decision answers an arrival: a target, or a refusal with its code.
type decision struct {
	code       result.Code
	detail     string
	retryAfter time.Duration
	target     destination
}

// destination is the target that a request may be sent to now.
type destination struct {
	id         model.TargetID
	generation uint64
	address    string
	slot       string // names the slot in use; the target lists it while it runs the request
	credit     *creditEnd
}

// creditEnd is when the credit of a target ends. The control loop sets it with
// each renewal; traffic goroutines read it before they write a request.
type creditEnd struct{ nanos atomic.Int64 } // since process start, on the steady clock

var processStart = time.Now()

func (e *creditEnd) set(until time.Time) { e.nanos.Store(int64(until.Sub(processStart))) }

func (e *creditEnd) passed(now time.Time) bool {
	return int64(now.Sub(processStart)) >= e.nanos.Load()
}

// sample is what a round trip taught about a target.
type sample struct {
	kind sampleKind
	run  time.Duration
}

type sampleKind uint8

const (
	sampleDone         sampleKind = iota + 1 // complete answer
	sampleFailed                             // complete answer with a status of 500 or more
	sampleRefused                            // connection not accepted, or the target answered that it did not run the request
	sampleSilent                             // no answer before the deadline
	sampleTruncated                          // answer ended early
	sampleCancelled                          // the caller went away; says nothing about the target
	sampleUnsent                             // never sent, for reasons on this side
	sampleNoConnection                       // never sent, because it would have exceeded the connections or outlived the credit
)

// abandoned reports whether the target may still run the request.
func (k sampleKind) abandoned() bool {
	return k == sampleSilent || k == sampleTruncated || k == sampleCancelled
}
