package event

import "go.uber.org/zap/zapcore"

// Events of the fleet, 3000 to 3099.
var (
	InstanceOutOfService = define(3000, "instance out of service", zapcore.WarnLevel, "An instance had an unplanned outage, or did not come back after maintenance.", "Check the instance; it returns to service by itself once it is up again.")
	InstanceInService    = define(3001, "instance back in service", zapcore.InfoLevel, "An instance has returned to service after maintenance or an outage.", "")
	WaveChanged          = define(3002, "maintenance wave changed", zapcore.InfoLevel, "A maintenance wave was started, paused, resumed, cancelled or has ended.", "")
	WaveStopped          = define(3003, "maintenance wave stopped", zapcore.ErrorLevel, "Two instances failed after maintenance since the wave was started, or was resumed after a stop, so the system stopped the wave; the line has the reason.", "Find out why instances fail after maintenance, then resume or cancel the wave.")
	MoveChanged          = define(3004, "move changed", zapcore.InfoLevel, "A move of an instance between pools was started, has changed the instance's pool, or has ended.", "")
	PoolBelowBudget      = define(3005, "pool below its budget", zapcore.ErrorLevel, "Outages have left fewer instances of a pool available than its availability budget requires; planned work on the pool has stopped.", "Repair instances of the pool or move instances to it.")
	PoolWithinBudget     = define(3006, "pool within its budget", zapcore.InfoLevel, "The pool again has as many instances available as its availability budget requires.", "")
	PlatformUnreachable  = define(3007, "platform call failed", zapcore.WarnLevel, "A call to the platform failed or was not answered in time; it is retried with the same operation ID.", "If this continues, check the platform; drains and reboots wait for it.")
	ProposalFailed       = define(3008, "fleet commands not committed", zapcore.WarnLevel, "Commands of the reconciler could not be committed; the reconciler decides again from the current state.", "Check that a quorum of control replicas is reachable.")
	CommandRefused       = define(3009, "fleet command refused", zapcore.DebugLevel, "A command of the reconciler was refused because another change was committed first; the reconciler decides again from the current state.", "")
)
