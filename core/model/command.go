package model

// Envelope is the content of one entry of the replicated log: a command and its
// metadata.
type Envelope struct {
	// RequestID makes the command idempotent. It is empty for commands whose own
	// fields make them idempotent.
	RequestID RequestID
	// Fingerprint is a hash of the encoded command, set by the codec. It
	// distinguishes a resend from a different command with the same RequestID.
	Fingerprint uint64
	// Actor is the operator or component that issued the command.
	Actor string
	// Time is set by the leader and never decreases from one log entry to the next.
	Time    Timestamp
	Command Command
}

// Command is a change of the control state. The concrete types are in the
// commands_*.go files of this package; package codec assigns each a number.
type Command interface{ isCommand() }
