package model

// MinClassSamples is the number of ended jobs after which the learned size and
// run time of a class replace the declared ones.
const MinClassSamples = 3

// undeclared is taken for processors and memory that a job does not declare,
// until its class is known.
var undeclared = Resources{MilliCPU: 100, MemoryMB: 64}

// LearnedClass returns the estimate of the job's class if it has enough samples.
func (s State) LearnedClass(j Job) (ClassEstimate, bool) {
	e, ok := s.Classes.Get(j.ClassKey())
	return e, ok && e.Samples >= MinClassSamples
}

// JobSize returns what the job will take of the worker: the learned size of its
// class, or the declared one while there are few samples. It is at most the
// whole worker, because a job is admitted by its declared size.
func (s State) JobSize(j Job, w Instance) Resources {
	size := j.Declared
	if size.MilliCPU == 0 {
		size.MilliCPU = undeclared.MilliCPU
	}
	if size.MemoryMB == 0 {
		size.MemoryMB = undeclared.MemoryMB
	}
	if e, ok := s.LearnedClass(j); ok {
		size.MilliCPU, size.MemoryMB = max(e.Used.MilliCPU, 1), max(e.Used.MemoryMB, 1)
	}
	size.MilliCPU = min(size.MilliCPU, w.Capacity.MilliCPU)
	size.MemoryMB = min(size.MemoryMB, w.Capacity.MemoryMB)
	return size
}
