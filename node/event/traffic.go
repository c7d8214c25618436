package event

import "go.uber.org/zap/zapcore"

// Events of the traffic path, 2000 to 2999.
var (
	ConfigInForce      = define(2000, "configuration in force", zapcore.InfoLevel, "The entry instance has applied a configuration revision.", "")
	TargetAnnounced    = define(2001, "target announced", zapcore.InfoLevel, "A target has joined or is leaving; the announcement is committed.", "")
	AnnouncementLost   = define(2002, "announcement not committed", zapcore.WarnLevel, "An announcement of a target could not be committed; the target was told to repeat it.", "Check that the control replicas have a quorum.")
	AnswerAborted      = define(2003, "answer aborted", zapcore.WarnLevel, "A long answer ended early at the target; the connection to the caller was aborted so that the part is not taken as the whole.", "Look at the target named in the line.")
	RequestInternal    = define(2004, "request failed internally", zapcore.ErrorLevel, "A request ended with an internal error.", "Report the line with its trace.")
	TargetLost         = define(2006, "target lost", zapcore.WarnLevel, "The owner of a target has had no heartbeat from it for 5 s and announces it as lost.", "Look at the target; it joins again by itself if it is alive.")
	TargetEjected      = define(2007, "target ejected", zapcore.WarnLevel, "A target gets no work from this entry instance for a while, for the reason given.", "Look at the target named in the line.")
	ConnectionReplaced = define(2008, "connections replaced", zapcore.WarnLevel, "A connection to a target went silent while a new one works; the old ones are dropped.", "If it recurs, look at the network between the entry instance and the target.")
	WorkReportLost     = define(2020, "work report not committed", zapcore.WarnLevel, "What a worker reported about its jobs could not be committed; the worker was told to repeat it.", "Check that the control replicas have a quorum.")
	WorkFenced         = define(2021, "worker told to stop a job", zapcore.InfoLevel, "A worker reported on a job under a token that is not valid any more; the job has ended or runs elsewhere.", "")
	AssignmentsLost    = define(2022, "assignments not available", zapcore.WarnLevel, "No control replica answered the query of a worker; the worker was told to ask again.", "Check that the control replicas can be reached and have a leader.")
	EntryDraining      = define(2005, "entry draining", zapcore.InfoLevel, "Readiness is withdrawn; requests in flight are completed.", "")
)
