package model

import "lacewingturn.example/core/result"

// ClaimKey identifies a non-idempotent request. The idempotency key, a UUIDv7,
// is the first part, so claims sort by time of issue and the oldest expire first.
type ClaimKey string

// MakeClaimKey combines the idempotency key of a request with its caller, because
// different callers may use the same key.
func MakeClaimKey(key RequestID, caller CallerID) ClaimKey {
	return ClaimKey(string(key) + "/" + string(caller))
}

// Claim records that a non-idempotent request was sent, or may have been sent, to
// a target. Resends of the request are answered from it.
type Claim struct {
	Key         ClaimKey
	Fingerprint uint64 // hash of method, path and body; a resend must have the same
	Entry       EntryID
	EntryEpoch  uint64
	Attempt     string // random ID of the attempt; proposing the same attempt again is granted again
	Phase       ClaimPhase
	IssuedAt    Timestamp
	Status      int // HTTP status of the recorded answer
	ContentType string
	Body        []byte // at most MaxRecordedBody bytes
	BodyOmitted bool   // the answer was longer than MaxRecordedBody and was not recorded
}

// MaxRecordedBody is the maximum size of an answer body recorded in a claim, in bytes.
const MaxRecordedBody = 2048

// ClaimPhase is the state of a claim.
type ClaimPhase uint8

// Phases of a claim.
const (
	ClaimPending ClaimPhase = iota + 1 // granted, outcome not recorded yet
	ClaimDone                          // the request ran and its answer is recorded
	ClaimNotRun                        // the request did not run; a resend may claim again
	ClaimLost                          // the outcome will never be known
)

// RequestRecord is the recorded result of an operator's command. A resend with
// the same request ID is answered from it.
type RequestRecord struct {
	ID     RequestID
	Result result.Result
	// Fingerprint is the fingerprint of the first envelope; a resend must have the same.
	Fingerprint uint64
}
