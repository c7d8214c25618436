package model

// Envelope is one entry of the replicated log: a command with what the leader
// added to it.
type Envelope struct {
	// RequestID makes the command idempotent; empty for commands that are
	// idempotent by their own keys.
	RequestID RequestID
	// Fingerprint is a hash of the encoded command, set by the codec. It tells a
	// resend apart from another command under the same RequestID.
	Fingerprint uint64
	Actor       string
	// Time is stamped by the leader and is never lower than that of the entry before.
	Time    Timestamp
	Command Command
}

// Command is a change of the control state. The concrete types are in the
// commands_*.go files of this package; their number is fixed by the codec.
type Command interface{ isCommand() }
