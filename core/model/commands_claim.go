package model

// ClaimRequest claims a non-idempotent request. An entry instance commits it
// before it sends the request to a target.
type ClaimRequest struct {
	Key         RequestID
	Caller      CallerID
	Fingerprint uint64
	Entry       EntryID
	EntryEpoch  uint64
	Attempt     string
}

// SettleClaim records the outcome of a claimed request.
type SettleClaim struct {
	Key         RequestID
	Caller      CallerID
	Attempt     string
	Phase       ClaimPhase // ClaimDone, ClaimNotRun or ClaimLost
	Status      int
	ContentType string
	Body        []byte
	BodyOmitted bool
}

func (ClaimRequest) isCommand() {}
func (SettleClaim) isCommand()  {}
