package dispatch

import (
	"math"
	"math/bits"
	"time"
)

// classes is the number of run time classes. Class c holds run times from 2^(c-1) ms to below
// 2^c ms, the last class also all longer ones. Class 0 holds unknown run times and those below
// 1 ms.
const classes = 25

// separation is the minimum distance in classes between longer work and the shorter work that
// it leaves slots for: the run time of the shorter work is at most half, typically a quarter or
// less.
const separation = 2

func classOf(run time.Duration) int {
	return min(bits.Len64(uint64(run/time.Millisecond)), classes-1)
}

// minRunTime returns the lower bound of the run times in a class above 0.
func minRunTime(class int) time.Duration {
	return time.Millisecond << (class - 1)
}

// typicalRunTime returns the middle of the run times in a class.
func typicalRunTime(class int) time.Duration {
	return time.Duration(3<<class) * time.Millisecond / 4
}

// Weights of a new run time in the estimate, which is a moving average of logarithms. Runs
// shorter than the estimate have the higher weight, and the difference of longer ones is limited
// to longerStep, so that a flow of short runs with some stragglers still counts as short.
const (
	shorterWeight = 0.5
	longerWeight  = 0.125
	longerStep    = 2.0 // in powers of two, before weighting
)

// estimate is the learned run time of one flow.
type estimate struct {
	samples int
	log2    float64 // of the run time in milliseconds
}

func (e *estimate) learn(run time.Duration) {
	v := math.Log2(max(float64(run)/float64(time.Millisecond), 0.5))
	e.samples++
	switch {
	case e.samples == 1:
		e.log2 = v
	case v < e.log2:
		e.log2 += shorterWeight * (v - e.log2)
	default:
		e.log2 += longerWeight * min(v-e.log2, longerStep)
	}
}

// run returns the expected run time; 0 if unknown.
func (e *estimate) run() time.Duration {
	if e.samples == 0 {
		return 0
	}
	return time.Duration(math.Exp2(e.log2) * float64(time.Millisecond))
}
