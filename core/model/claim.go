package model

import "lacewingturn.example/core/result"

// ClaimKey identifies a non-idempotent request. Key comes first so that the
// claims are ordered by time of issue and expire from the front.
type ClaimKey string

// MakeClaimKey joins the UUIDv7 of the request and its caller.
func MakeClaimKey(key RequestID, caller CallerID) ClaimKey {
	return ClaimKey(string(key) + "/" + string(caller))
}

// Claim records that a request was or may have been sent to a target.
type Claim struct {
	Key         ClaimKey
	Fingerprint uint64 // hash of method, path and body; a resend must match
	Entry       EntryID
	EntryEpoch  uint64
	Attempt     string // drawn for each attempt; a repeated propose of the same attempt is granted again
	Phase       ClaimPhase
	IssuedAt    Timestamp
	Status      int // HTTP status of the recorded answer
	ContentType string
	Body        []byte // at most MaxRecordedBody bytes
	BodyOmitted bool   // the answer was longer than MaxRecordedBody
}

// MaxRecordedBody is the longest answer kept with a claim, in bytes.
const MaxRecordedBody = 2048

// ClaimPhase is the condition of a claim.
type ClaimPhase uint8

// Phases of a claim.
const (
	ClaimPending ClaimPhase = iota + 1
	ClaimDone
	ClaimNotRun // certainly not run; the next resend may claim again
	ClaimLost   // outcome unknown for ever
)

// RequestRecord keeps the result of an operator's command for resends.
type RequestRecord struct {
	ID     RequestID
	Result result.Result
	// Fingerprint is that of the first envelope; a resend must match.
	Fingerprint uint64
}
