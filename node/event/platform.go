package event

import "go.uber.org/zap/zapcore"

// Events of workloads, their workers and the platform, 6000 to 6999.
var (
	CallerRefused          = define(6000, "caller refused", zapcore.InfoLevel, "A caller's command was refused; the line names the result.", "")
	CallerQueryUnanswered  = define(6001, "caller's question unanswered", zapcore.InfoLevel, "No leader answered a caller's query in time; the caller was told to retry.", "If this lasts longer than an election, check the control replicas.")
	HeartbeatRefused       = define(6002, "heartbeat refused", zapcore.WarnLevel, "A worker's heartbeat was malformed or lacked a required field. It was refused and has no effect.", "Check the version of the worker.")
	OperatorOrder          = define(6003, "operator's order", zapcore.InfoLevel, "An operator's order was answered. The line names the result, the version or number of the order, how long the commit took, and whether the operator closed the connection before the answer was sent.", "")
	LeaderReached          = define(6004, "leader reached", zapcore.InfoLevel, "The leader has answered this entry instance, which now reports ready.", "")
	LeaderLost             = define(6005, "leader lost", zapcore.WarnLevel, "This entry instance has had no answer from a leader for longer than the limit and reports not ready.", "Check the control replicas and the network between them and the entry instance.")
	SettingsReloaded       = define(6006, "settings reloaded", zapcore.InfoLevel, "The settings file has changed; the seeds listed in it are now used.", "")
	SettingsRefused        = define(6007, "changed settings refused", zapcore.ErrorLevel, "The changed settings file is invalid. The previous settings stay in force.", "Correct the file.")
	InstanceOrdered        = define(6010, "instance ordered", zapcore.InfoLevel, "The platform has confirmed an order to move or maintain an instance; the line names the new pool or the number of the upkeep order.", "")
	InstanceOrderFailed    = define(6011, "order for an instance failed", zapcore.WarnLevel, "The platform refused an order to move or maintain an instance, or did not confirm the order. A refused order is dropped and decided again later; an unconfirmed order may have taken effect and is retried.", "If this repeats, check the platform's interface.")
	InstanceListUnreadable = define(6012, "list of instances unread", zapcore.WarnLevel, "The platform's list of instances could not be read; the last list that was read is used.", "If this repeats, check the platform's interface.")
	InstanceEntriesSkipped = define(6014, "instances skipped", zapcore.WarnLevel, "Entries of the platform's list of instances could not be read and were left out. Instances that are missing from the list are kept as they were listed before.", "Look at the error of one of them in the line; check who writes to the list.")
	InstanceGone           = define(6013, "instance gone", zapcore.InfoLevel, "The platform does not list the instance and its worker does not report. The maintenance of the instance in the upkeep order that the line names counts as begun.", "")
	AdviceFailed           = define(6020, "advice failed", zapcore.WarnLevel, "The policy service did not answer a query about a step; the query is retried.", "If this repeats, check the policy service.")
	RunStalled             = define(6021, "run stalled", zapcore.WarnLevel, "A run made no progress. It is stopped and its task is started on another worker.", "If a worker is named often, check it.")

	CallerAnswered  = define(6030, "caller answered", zapcore.InfoLevel, "A caller's submission or cancellation was carried out; the line names the result and how long the commit took.", "")
	RunsStarted     = define(6031, "runs started", zapcore.InfoLevel, "The leader has started runs of a step. The line names the tasks, the workers, how long the workload has waited and the age of the oldest report that the placement is based on.", "")
	RunEnded        = define(6032, "run ended early", zapcore.WarnLevel, "A run failed or was interrupted. The line names the cause: reported by the worker, lease over, worker replaced or left, or worker not heard of since the election.", "Look for further lines that name the same worker.")
	WorkloadEnded   = define(6033, "workload ended", zapcore.InfoLevel, "A workload reached a final phase. The line names the phase, the reason, how long it took and by how much it missed its target completion time.", "")
	WorkerAppeared  = define(6034, "worker appeared", zapcore.InfoLevel, "The leader has received the first report of an incarnation of a worker.", "")
	WorkerReplaced  = define(6035, "worker replaced", zapcore.InfoLevel, "A later incarnation of a worker reports with the same name, instance or address. The runs of the earlier incarnation, which the line names, count as ended.", "")
	WorkerLeaving   = define(6036, "worker leaving", zapcore.InfoLevel, "A worker announced that it is going to shut down. It gets no new runs.", "")
	WorkerLeft      = define(6037, "worker left", zapcore.InfoLevel, "A worker announced that it has shut down.", "")
	WorkerSuspected = define(6038, "worker in doubt", zapcore.WarnLevel, "Runs on the worker failed, made no progress or were slow. The worker gets work only if no other worker can take it.", "If the worker is named often, check it.")
	SchedulingBegun = define(6039, "scheduling begun", zapcore.InfoLevel, "This replica became leader and schedules workloads. Runs on workers that do not report to this replica count as lost once the longest lease has expired.", "")
	ProgressRefused = define(6041, "progress refused", zapcore.ErrorLevel, "The end or the start of a run was dropped, because its command is invalid. The line names the worker. A worker whose single start was refused gets no work for 10 s, a gang avoids its workers for 2 s; all other runs go on.", "Find out what the named worker sends; report the line as a fault of the software.")
	CycleFailed     = define(6042, "scheduling cycle failed", zapcore.WarnLevel, "The ends and starts of a scheduling cycle were not committed. The heartbeats that waited for it are refused, and the next cycle decides again.", "Check that a quorum of control replicas is reachable.")
	HeartbeatUnused = define(6043, "heartbeat not used", zapcore.InfoLevel, "A heartbeat was acknowledged, but its sender gets no work and replaces no other worker: its service is not in the catalog in force, or it names the instance or the address of a worker that still reports and has work.", "If the sender is a worker, check its service; else find out what sends heartbeats from this instance.")
	StartIgnored    = define(6044, "start ignored", zapcore.WarnLevel, "A worker goes on reporting and does not start a run that it was told to start. The run is started elsewhere, and the worker gets no work for 5 s.", "If a worker is named often, check it.")
	SchedulingEnded = define(6040, "scheduling ended", zapcore.InfoLevel, "This replica is no longer the leader; workers are redirected to the next leader.", "")
)
