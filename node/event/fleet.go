package event

import "go.uber.org/zap/zapcore"

// Events of the fleet, 3000 to 3099.
var (
	InstanceOut         = define(3000, "instance out of service", zapcore.WarnLevel, "An instance was lost without a plan, or did not come back from maintenance.", "Check the instance; it returns by itself once it is seen again.")
	InstanceBack        = define(3001, "instance back in service", zapcore.InfoLevel, "An instance has returned from maintenance or from a loss.", "")
	WaveChanged         = define(3002, "maintenance wave changed", zapcore.InfoLevel, "A maintenance wave was started, paused, resumed, cancelled or has ended.", "")
	WaveHalted          = define(3003, "maintenance wave stopped", zapcore.ErrorLevel, "A second instance failed after its repair, so the wave stopped by itself; the line has the reason.", "Find out why repaired instances fail, then resume or cancel the wave.")
	MoveChanged         = define(3004, "move changed", zapcore.InfoLevel, "A move of an instance between pools was started, has changed the pool, or has ended.", "")
	BudgetBroken        = define(3005, "pool below its budget", zapcore.ErrorLevel, "Faults have left a pool with less than its availability budget; planned work on it has stopped.", "Repair instances of the pool or move instances to it.")
	BudgetRestored      = define(3006, "pool within its budget", zapcore.InfoLevel, "The pool has its availability budget again.", "")
	PlatformUnreachable = define(3007, "platform call failed", zapcore.WarnLevel, "A call to the platform failed or was not answered in time; it is repeated under the same operation ID.", "If it lasts, check the platform; drains and reboots wait for it.")
	ProposalFailed      = define(3008, "fleet commands not committed", zapcore.WarnLevel, "Commands of the reconciler could not be committed; they are decided again.", "Check that a quorum of control replicas is reachable.")
	CommandRefused      = define(3009, "fleet command refused", zapcore.DebugLevel, "A command of the reconciler was refused because something else was committed first; it is decided again.", "")
)
