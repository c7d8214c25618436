package event

import "go.uber.org/zap/zapcore"

// Events of workloads and of the platform, 6000 to 6999.
var (
	CallerRefused       = define(6000, "caller refused", zapcore.InfoLevel, "A command of a caller was not carried out; the line names the result.", "")
	CallerUnanswered    = define(6001, "caller's question unanswered", zapcore.InfoLevel, "No leader answered in time; the caller was told to come back.", "Check the control replicas if this lasts longer than an election.")
	ReportInvalid       = define(6002, "heartbeat refused", zapcore.WarnLevel, "A heartbeat of a worker is not readable or lacks a field. It was refused and changes nothing.", "Check the version of the worker.")
	OperatorOrder       = define(6003, "operator's order", zapcore.InfoLevel, "An order of the operator was answered with the result in the line.", "")
	ControlReached      = define(6004, "leader reached", zapcore.InfoLevel, "This entry instance has an answer of the leader and takes callers.", "")
	ControlLost         = define(6005, "leader lost", zapcore.WarnLevel, "This entry instance has had no answer of a leader for a while and takes no new callers.", "Check the control replicas and the network path to them.")
	SettingsReloaded    = define(6006, "settings reloaded", zapcore.InfoLevel, "The settings file has changed; the seeds in it are in force.", "")
	SettingsRefused     = define(6007, "changed settings refused", zapcore.ErrorLevel, "The changed settings file is wrong. The settings before stay in force.", "Correct the file.")
	InstanceOrdered     = define(6010, "instance ordered", zapcore.InfoLevel, "The platform has confirmed a move or an upkeep of an instance; the line names the pool or the order.", "")
	InstanceOrderFailed = define(6011, "order for an instance failed", zapcore.WarnLevel, "A move or an upkeep was refused, or not confirmed and may have begun. It is decided anew or repeated.", "Check the platform's interface if this repeats.")
	InstancesUnlisted   = define(6012, "list of instances unread", zapcore.WarnLevel, "The platform's list of instances could not be read; the one before is used.", "Check the platform's interface if this repeats.")
	InstanceGone        = define(6013, "instance gone", zapcore.InfoLevel, "The platform does not list the instance any more. Its upkeep is not owed.", "")
	AdviceFailed        = define(6020, "advice failed", zapcore.WarnLevel, "The policy service did not answer a question about a step; it is asked again.", "Check the policy service if this repeats.")
	RunStalled          = define(6021, "run stalled", zapcore.WarnLevel, "A run made no progress. It is stopped and its task is started on another worker.", "Check the worker if it is named often.")
)
