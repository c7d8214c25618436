package model

// MinClassSamples is the number of ended jobs of a class that are needed before the
// learned size and run time replace the declared ones.
const MinClassSamples = 3

// defaultSize is assumed for processors and memory that a job does not declare
// and whose class has no estimate yet.
var defaultSize = Resources{MilliCPU: 100, MemoryMB: 64}

// ClassEstimate returns the learned estimate of the job's class. It reports false if
// the class has fewer than MinClassSamples samples.
func (s State) ClassEstimate(j Job) (ClassEstimate, bool) {
	e, ok := s.Classes.Get(j.ClassKey())
	return e, ok && e.Samples >= MinClassSamples
}

// JobSize returns the capacity that the job needs on the worker: the learned size
// of its class, or the declared size while there are fewer than MinClassSamples
// samples. Processors and memory are capped at the capacity of the worker,
// because a job is admitted by its declared size.
func (s State) JobSize(j Job, w Instance) Resources {
	size := j.Declared
	if size.MilliCPU == 0 {
		size.MilliCPU = defaultSize.MilliCPU
	}
	if size.MemoryMB == 0 {
		size.MemoryMB = defaultSize.MemoryMB
	}
	if e, ok := s.ClassEstimate(j); ok {
		size.MilliCPU, size.MemoryMB = max(e.Used.MilliCPU, 1), max(e.Used.MemoryMB, 1)
	}
	size.MilliCPU = min(size.MilliCPU, w.Capacity.MilliCPU)
	size.MemoryMB = min(size.MemoryMB, w.Capacity.MemoryMB)
	return size
}
