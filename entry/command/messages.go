// Package command is the command half of an entry instance: caller requests,
// target announcements, dispatch and slot credits. The Machine holds the state
// and runs on the control loop; everything else runs on traffic goroutines and
// communicates with it by messages.
package command

import (
	"sync/atomic"
	"time"

	"lacewingturn.example/core/command/credit"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// Messages from traffic goroutines to the Machine.
type (
	// arrival requests a slot on a target. Exactly one decision is sent on reply,
	// which must have capacity for it.
	arrival struct {
		id       uint64
		service  model.ServiceName
		caller   model.CallerID
		deadline time.Time
		retry    bool           // counts against the retry budget
		avoid    model.TargetID // target of the failed attempt; used only if no other has a usable slot
		reply    chan decision
	}
	// admission checks whether a request that needs a claim would be queued, so
	// that no claim is committed for a request that would be refused. The channel
	// reply must have capacity for the decision. After a decision of OK, the sender
	// must send a claimClosed.
	admission struct {
		service model.ServiceName
		caller  model.CallerID
		reply   chan decision
	}
	// claimClosed ends an admission: the outcome of the claim is recorded, or no
	// claim is pending.
	claimClosed struct{}
	// cancellation withdraws an arrival. If the request is still queued, a decision
	// with code CallerDisconnected is sent; otherwise the decision has already been sent.
	cancellation struct{ id uint64 }
	// completion releases the slot of a request.
	completion struct {
		id     uint64
		sample sample
	}
	// heartbeat is a heartbeat of a target; forwarded is set if another entry
	// instance received and forwarded it.
	heartbeat struct {
		credit.Heartbeat
		forwarded bool
	}
	// checkResult is the result of a health check on a new connection.
	checkResult struct {
		target    destination
		responded bool
	}
	// withdrawReadiness makes the instance report itself as not ready while it
	// still serves requests.
	withdrawReadiness struct{}
	// drain makes the Machine refuse new requests. Once no request is queued, in
	// flight or unrecorded, the time at which the last granted credit ends is sent
	// on done, which must have capacity for it.
	drain struct{ done chan time.Time }
)

// decision is the reply to an arrival or admission: a target, or a refusal with
// its code.
type decision struct {
	code       result.Code
	detail     string
	retryAfter time.Duration
	target     destination
}

// destination identifies a target and, for a request, the slot that it uses there.
type destination struct {
	id         model.TargetID
	generation uint64
	address    string
	slot       string // identifies the slot in use; the target lists it while it runs the request
	credit     *creditExpiry
}

// creditExpiry is the time at which the credit for a target ends. The control loop
// sets it with each renewal; traffic goroutines read it before they write a request.
type creditExpiry struct{ nanos atomic.Int64 } // since process start, on the monotonic clock

var processStart = time.Now()

func (e *creditExpiry) set(until time.Time) { e.nanos.Store(int64(until.Sub(processStart))) }

func (e *creditExpiry) expired(now time.Time) bool {
	return int64(now.Sub(processStart)) >= e.nanos.Load()
}

// sample is the outcome of one exchange as input for the health of the target.
type sample struct {
	kind sampleKind
	run  time.Duration
}

type sampleKind uint8

const (
	sampleDone         sampleKind = iota + 1 // complete response with a status below 500
	sampleFailed                             // complete response with a status of 500 or more
	sampleRefused                            // connection refused, or the target stated that it did not run the request
	sampleSilent                             // no response before the deadline
	sampleTruncated                          // response ended early
	sampleCancelled                          // the caller disconnected; says nothing about the target
	sampleUnsent                             // never sent, because no slot was acquired or the request was withdrawn
	sampleNoConnection                       // never sent, because the connection limit was reached or the credit had expired
)

// abandoned reports whether the target may still run the request.
func (k sampleKind) abandoned() bool {
	return k == sampleSilent || k == sampleTruncated || k == sampleCancelled
}
