package event

import "go.uber.org/zap/zapcore"

// Events of workloads and of the platform, 6000 to 6999.
var (
	CallerRefused       = define(6000, "caller refused", zapcore.InfoLevel, "A command of a caller was not carried out; the line names the result.", "")
	CallerUnanswered    = define(6001, "caller's question unanswered", zapcore.InfoLevel, "No leader answered in time; the caller was told to come back.", "Check the control replicas if this lasts longer than an election.")
	ReportInvalid       = define(6002, "heartbeat refused", zapcore.WarnLevel, "A heartbeat of a worker is not readable or lacks a field. It was refused and changes nothing.", "Check the version of the worker.")
	OperatorOrder       = define(6003, "operator's order", zapcore.InfoLevel, "An order of the operator was answered with the result in the line, which names the version or the number of the order, how long the commit took, and whether the operator had given up before.", "")
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

	WorkloadTaken   = define(6030, "caller answered", zapcore.InfoLevel, "A submission or cancellation was carried out; the line names the result and how long the commit took.", "")
	RunsStarted     = define(6031, "runs started", zapcore.InfoLevel, "The leader has started runs of a step. The line names the tasks, the workers, how long the workload has waited and the age of the oldest report that decided it.", "")
	RunEnded        = define(6032, "run ended early", zapcore.WarnLevel, "A run failed or was interrupted. The line names the cause: reported by the worker, lease over, worker replaced or worker left.", "Compare the lines of the same worker.")
	WorkloadEnded   = define(6033, "workload ended", zapcore.InfoLevel, "A workload reached a final phase. The line names the phase, the reason, how long it took and by when it should have been complete.", "")
	WorkerAppeared  = define(6034, "worker appeared", zapcore.InfoLevel, "The leader has heard of an incarnation of a worker for the first time.", "")
	WorkerReplaced  = define(6035, "worker replaced", zapcore.InfoLevel, "A later incarnation reports from the same name, instance or address. The runs of the earlier one have ended.", "")
	WorkerLeaving   = define(6036, "worker leaving", zapcore.InfoLevel, "A worker announced that it will end. It gets no new runs.", "")
	WorkerLeft      = define(6037, "worker left", zapcore.InfoLevel, "A worker announced its end.", "")
	WorkerDoubted   = define(6038, "worker in doubt", zapcore.WarnLevel, "Runs on the worker failed, stood still or were slow. It gets work only if no other worker can take it.", "Check the worker if it is named often.")
	SchedulingBegun = define(6039, "scheduling begun", zapcore.InfoLevel, "This replica leads and schedules. Runs on workers that do not report to it count as lost when the longest lease is over.", "")
	SchedulingEnded = define(6040, "scheduling ended", zapcore.InfoLevel, "This replica does not lead any more; workers are sent to the next leader.", "")
)
