package event

import "go.uber.org/zap/zapcore"

// Events of a process, 5000 to 5999.
var (
	ProcessStarted  = define(5000, "process started", zapcore.InfoLevel, "The process has checked its settings and serves its roles.", "")
	ProcessStopping = define(5001, "process stopping", zapcore.InfoLevel, "A graceful shutdown has begun; readiness is withdrawn first and listeners close last.", "")
	ProcessStopped  = define(5002, "process stopped", zapcore.InfoLevel, "All requests in flight have ended and the listeners are closed.", "")
	SettingsInvalid = define(5003, "settings invalid", zapcore.ErrorLevel, "One or more settings are wrong; nothing was started.", "Correct every setting that the line names.")
)

// Events of recording, 5200 to 5299.
var (
	RecordFailed = define(5200, "record failed", zapcore.ErrorLevel, "A recording could not be written and has ended; the instance goes on.", "Check the disk of the folder given in --record.")
)
