package job

import (
	"time"

	"lacewingturn.example/core/model"
)

// maxClasses bounds the classes that are learned.
const maxClasses = 10_000

// Shares of a new sample in the estimates. High estimates rise fast and fall
// slowly, because a size that is too small overbooks a worker.
const (
	typicalShare  = 8  // one eighth
	highRiseShare = 2  // one half
	highFallShare = 32 // one thirty-second
)

func class(s *model.State, j model.Job) (model.ClassEstimate, bool) {
	key := j.ClassKey()
	e, ok := s.Classes.Get(key)
	e.Class = key
	return e, ok || s.Classes.Len() < maxClasses
}

// learnUsage raises the size of the class to a higher usage at once.
func learnUsage(s *model.State, j model.Job, used model.Resources) {
	e, ok := class(s, j)
	if !ok || j.Throttled {
		return
	}
	high := e.Used
	high.MilliCPU, high.MemoryMB = max(high.MilliCPU, used.MilliCPU), max(high.MemoryMB, used.MemoryMB)
	if high == e.Used {
		return
	}
	e.Used = high
	s.Classes = s.Classes.Set(e.Class, e)
}

// learnEnd teaches run time and size from a job that succeeded.
func learnEnd(s *model.State, j model.Job, c model.JobEnded) {
	e, ok := class(s, j)
	if !ok {
		return
	}
	used := j.Used
	if used.MilliCPU > 0 && used.MemoryMB > 0 && !j.Throttled {
		e.Used.MilliCPU = max(used.MilliCPU, e.Used.MilliCPU-(e.Used.MilliCPU-used.MilliCPU)/highFallShare)
		e.Used.MemoryMB = max(used.MemoryMB, e.Used.MemoryMB-(e.Used.MemoryMB-used.MemoryMB)/highFallShare)
	}
	if c.Run > 0 {
		e.Run, e.RunHigh = learnRun(e, c.Run)
	}
	e.Samples++
	s.Classes = s.Classes.Set(e.Class, e)
}

func learnRun(e model.ClassEstimate, run time.Duration) (typical, high time.Duration) {
	if e.Run == 0 {
		return run, run
	}
	typical = e.Run + (run-e.Run)/typicalShare
	if run > e.RunHigh {
		return typical, e.RunHigh + (run-e.RunHigh)/highRiseShare
	}
	return typical, e.RunHigh - (e.RunHigh-run)/highFallShare
}
