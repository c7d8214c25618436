package event

import "go.uber.org/zap/zapcore"

// Events of a process, 5000 to 5999.
var (
	ProcessStarted  = define(5000, "process started", zapcore.InfoLevel, "The process has checked its settings and started its roles.", "")
	ProcessStopping = define(5001, "process stopping", zapcore.InfoLevel, "A graceful shutdown has begun: the process first reports not ready and closes its listeners last.", "")
	ProcessStopped  = define(5002, "process stopped", zapcore.InfoLevel, "All requests in flight are completed and the listeners are closed.", "")
	SettingsInvalid = define(5003, "settings invalid", zapcore.ErrorLevel, "One or more settings are invalid; nothing was started.", "Correct all settings named in the line.")
	RequestsRefused = define(5004, "requests refused", zapcore.WarnLevel, "Requests were refused or connections closed because of limits, at most one line in 10 s. The line names how many by limit, and what connections and unfinished requests hold now.", "Find out which clients do not finish their requests.")
)

// Events of the recording of traffic and control messages, 5200 to 5299.
var (
	RecordFailed = define(5200, "record failed", zapcore.ErrorLevel, "A recording could not be written and was ended; the instance continues to run without it.", "Check the disk of the folder given by --record.")
)
