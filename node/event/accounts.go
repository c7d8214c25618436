package event

import "go.uber.org/zap/zapcore"

// Events of client accounts.
var (
	AccountKeysChanged = define(6070, "keys of accounts changed", zapcore.InfoLevel, "A catalog that was put in force has added or withdrawn keys of client accounts. The line names its version and how many.", "")
	WithdrawnKeyUsed   = define(6071, "withdrawn key used", zapcore.InfoLevel, "A call was refused because its key was withdrawn. The line names the account that the key belonged to. There is one line at most for each key.", "If the callers of the account should be served, give them a valid key.")
)
