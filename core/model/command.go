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
	Time Timestamp
	// Rules is the version of the rules by which the command is applied. The codec
	// stores it, so that log entries of earlier releases keep their effect.
	Rules   Rules
	Command Command
}

// Rules is a version of the rules by which commands change the state. A release that
// changes the effect of a command adds a version and keeps applying the entries of
// earlier versions as before: replicas that have taken their snapshots at different
// positions of the log would otherwise differ after an upgrade.
type Rules uint8

// Versions of the rules. The zero value stands for the present rules, so that only the
// codec and the commands that differ have to know of others.
const (
	CurrentRules Rules = iota
	// FirstRules counts a failed run of a gang once for each member that failed, keeps a
	// checkpoint for each member of a gang, ties a workload to its queue by the name of
	// the queue only, and accepts a configuration without the pool of a job that has not
	// ended.
	FirstRules
)

// Command is a change of the control state. The concrete types are in the
// commands_*.go files of this package; package codec assigns each a number.
type Command interface{ isCommand() }
