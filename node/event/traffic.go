package event

import "go.uber.org/zap/zapcore"

// Events of request forwarding and of the interface to targets and workers, 2000 to
// 2999.
var (
	ConfigInForce            = define(2000, "configuration in force", zapcore.InfoLevel, "The entry instance has applied a configuration revision.", "")
	TargetAnnounced          = define(2001, "target announced", zapcore.InfoLevel, "A target has joined or is leaving; its announcement was committed.", "")
	AnnouncementNotCommitted = define(2002, "announcement not committed", zapcore.WarnLevel, "The announcement of a target could not be committed; the target was told to repeat it.", "Check that the control replicas have a quorum.")
	AnswerAborted            = define(2003, "answer aborted", zapcore.WarnLevel, "A target ended a streamed response early; the connection to the caller was aborted, so the caller does not take the truncated response as complete.", "Check the targets of the service in the path that the line names.")
	RequestInternal          = define(2004, "request failed internally", zapcore.ErrorLevel, "A request failed with an internal error.", "Report the line and its trace as a fault of the software.")
	TargetLost               = define(2006, "target lost", zapcore.WarnLevel, "The entry instance that owns the target received no heartbeat from it for 5 s, or for three heartbeat intervals if that is longer, and announced it as lost.", "Check the target; if it is running, it joins again by itself.")
	TargetEjected            = define(2007, "target ejected", zapcore.WarnLevel, "This entry instance temporarily sends no requests to the target, for the reason in the line.", "Check the target named in the line.")
	ConnectionReplaced       = define(2008, "connections replaced", zapcore.WarnLevel, "Connections to a target stopped responding while a new connection works; the old ones were closed.", "If this repeats, check the network between the entry instance and the target.")
	WorkReportNotCommitted   = define(2020, "work report not committed", zapcore.WarnLevel, "A worker's report about its jobs could not be committed; the worker was told to repeat it.", "Check that the control replicas have a quorum.")
	WorkerToldToStop         = define(2021, "worker told to stop a job", zapcore.InfoLevel, "A worker reported on a job with a fencing token that is no longer valid, because the job has ended or was placed elsewhere; the worker was told to stop the job.", "")
	AssignmentsUnavailable   = define(2022, "assignments not available", zapcore.WarnLevel, "No control replica answered a worker's query for its assignments; the worker was told to retry.", "Check that the control replicas are reachable and have a leader.")
	EntryDraining            = define(2005, "entry draining", zapcore.InfoLevel, "The entry instance is shutting down: it reports not ready and completes the requests in flight.", "")
)
