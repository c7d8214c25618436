package job

import (
	"time"

	"lacewingturn.example/core/model"
)

// maxClasses bounds the number of classes with an estimate.
const maxClasses = 10_000

// An estimate changes by the difference between a new sample and the estimate, divided
// by one of these constants. High estimates rise fast and fall slowly, because too
// small a size overbooks a worker.
const (
	typicalDivisor  = 8  // weight 1/8
	highRiseDivisor = 2  // weight 1/2
	highFallDivisor = 32 // weight 1/32
)

// classEstimate returns the estimate of the job's class, zero if there is none yet.
// It reports false if the class is new and maxClasses are in use.
func classEstimate(s *model.State, j model.Job) (model.ClassEstimate, bool) {
	key := j.ClassKey()
	e, ok := s.Classes.Get(key)
	e.Class = key
	return e, ok || s.Classes.Len() < maxClasses
}

// learnUsage raises the size estimate of the class to a higher reported usage at
// once. The usage of a throttled job says nothing about its size and is ignored.
func learnUsage(s *model.State, j model.Job, used model.Resources) {
	e, ok := classEstimate(s, j)
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

// learnEnd updates the run time and size estimates of the class from a job that
// succeeded.
func learnEnd(s *model.State, j model.Job, c model.JobEnded) {
	e, ok := classEstimate(s, j)
	if !ok {
		return
	}
	used := j.Used
	if used.MilliCPU > 0 && used.MemoryMB > 0 && !j.Throttled {
		e.Used.MilliCPU = max(used.MilliCPU, e.Used.MilliCPU-(e.Used.MilliCPU-used.MilliCPU)/highFallDivisor)
		e.Used.MemoryMB = max(used.MemoryMB, e.Used.MemoryMB-(e.Used.MemoryMB-used.MemoryMB)/highFallDivisor)
	}
	if c.Run > 0 {
		e.Run, e.RunHigh = learnRun(e, c.Run)
	}
	e.Samples++
	s.Classes = s.Classes.Set(e.Class, e)
}

// learnRun returns the typical and the high run time of a class after a run.
func learnRun(e model.ClassEstimate, run time.Duration) (typical, high time.Duration) {
	if e.Run == 0 {
		return run, run
	}
	typical = e.Run + (run-e.Run)/typicalDivisor
	if run > e.RunHigh {
		return typical, e.RunHigh + (run-e.RunHigh)/highRiseDivisor
	}
	return typical, e.RunHigh - (e.RunHigh-run)/highFallDivisor
}
