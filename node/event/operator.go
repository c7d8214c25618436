package event

import "go.uber.org/zap/zapcore"

// Events of the operator interface, 4000 to 4999.
var (
	OperatorChange = define(4000, "operator change", zapcore.InfoLevel,
		"An operator's command was accepted or refused; the line names the operator, the command, the request ID and the result code.", "")
	OperatorForbidden = define(4001, "operator change forbidden", zapcore.WarnLevel,
		"A change was refused, because it came from an address other than loopback without a verified client certificate.",
		"Give the operator a certificate signed by the operator authority, or find out who sent the change.")
	OperatorUndecided = define(4002, "operator change undecided", zapcore.WarnLevel,
		"The result of an operator's command is unknown, no quorum of control replicas was reachable, or the command did not reach the leader.",
		"Resend the command with the same request ID; if this repeats, check the control replicas.")
	OperatorQueryFailed = define(4003, "operator query failed", zapcore.ErrorLevel,
		"The response to an operator's query could not be encoded.", "Report the line as a fault of the software.")
)
