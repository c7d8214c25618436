package scale

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
)

// decline is a pool after the end of a burst: its instances have runs that end one after
// another, and no new work arrives.
type decline struct {
	instances []Instance
	runs      [][]time.Duration // by instance, when each run ends
	emptySeen []time.Duration   // by instance, the first pass at which it is empty; 0 if none
	left      []time.Duration   // by instance, when it is moved away
}

const (
	declinePass    = 200 * time.Millisecond
	runsPerServer  = 10
	declineRunTime = 2 * time.Second
)

func newDecline(n int) *decline {
	random := rand.New(rand.NewPCG(1, 2))
	d := &decline{emptySeen: make([]time.Duration, n), left: make([]time.Duration, n), runs: make([][]time.Duration, n)}
	for i := range n {
		d.instances = append(d.instances, Instance{ID: model.InstanceID(fmt.Sprint(i)), Pool: "a", Capacity: capacity, Retirable: true})
		for range runsPerServer {
			d.runs[i] = append(d.runs[i], time.Duration(random.Int64N(int64(declineRunTime))))
		}
	}
	return d
}

// load returns the processor time that the runs of an instance reserve at a time.
func (d *decline) load(instance int, now time.Duration) int64 {
	sum := int64(0)
	for _, end := range d.runs[instance] {
		if end > now {
			sum += capacity.MilliCPU / runsPerServer
		}
	}
	return sum
}

// pass makes one decision and carries out its moves to the standby pool.
func (d *decline) pass(now time.Duration) {
	in := Input{Pools: []Pool{{Name: "a"}, {Name: "off", Standby: true}}}
	for i := range d.instances {
		instance := &d.instances[i]
		instance.LoadMilliCPU = d.load(i, now)
		instance.Movable = instance.LoadMilliCPU == 0
		if instance.Movable && d.emptySeen[i] == 0 {
			d.emptySeen[i] = now
		}
		if instance.Movable {
			instance.IdleTime = now - d.emptySeen[i]
		}
		if d.left[i] == 0 {
			in.Pools[0].Demand.MilliCPU += instance.LoadMilliCPU
			in.Instances = append(in.Instances, *instance)
		}
	}
	out := Decide(in)
	for i := range d.instances {
		d.update(i, out, now)
	}
}

// update records what the decision says about an instance.
func (d *decline) update(i int, out Decision, now time.Duration) {
	surplus := false
	for _, id := range out.Retire {
		surplus = surplus || id == d.instances[i].ID
	}
	if surplus {
		d.instances[i].SurplusTime += declinePass
	} else {
		d.instances[i].SurplusTime = 0
	}
	for _, move := range out.Moves {
		if move.Instance == d.instances[i].ID {
			d.left[i] = now
		}
	}
}

// Guards against instances that stay powered on after the end of a burst although they
// have been surplus since long before their last run ended.
func TestSurplusInstancesLeaveOnceEmpty(t *testing.T) {
	const size = 200
	d := newDecline(size)
	for now := declinePass; now < 2*declineRunTime; now += declinePass {
		d.pass(now)
	}
	var idle time.Duration
	leaving := 0
	for i := range d.left {
		if d.left[i] > 0 {
			leaving++
			idle += d.left[i] - d.emptySeen[i]
		}
	}
	assert.Equal(t, leaving, size-minSize)
	mean := idle / time.Duration(leaving)
	t.Logf("an instance is powered off %v after its last run", mean)
	assert.Assert(t, mean < minIdle/2, "%v", mean)
}
