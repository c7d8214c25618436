package place

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lacewingturn.example/core/command/near"
	"lacewingturn.example/core/model"
)

// drawLoad draws a fleet of four racks and work that may wish for one of them.
func drawLoad(t *rapid.T) load {
	period := time.Duration(rapid.IntRange(4, 20).Draw(t, "period")) * replayTick
	count := rapid.IntRange(1, 8).Draw(t, "tasks")
	run := time.Duration(rapid.IntRange(2, 12).Draw(t, "run")) * 100 * time.Millisecond
	racks := rapid.SliceOfN(rapid.IntRange(0, 4), 4, 4).Draw(t, "racks")
	gang := rapid.Bool().Draw(t, "gang")
	return load{racks: 4, workers: 2, wrong: rapid.SampledFrom([]float64{0.25, 1, 4}).Draw(t, "wrong"), arrive: func(at time.Duration) []model.Step {
		if at >= 3*time.Second || !every(period, at) {
			return nil
		}
		s := wish(count, run, "")
		if rack := racks[int(at/period)%len(racks)]; rack < 4 {
			s.NearRack = fmt.Sprint("r", rack)
		} else if gang {
			s.Gang, s.SameRack = true, true
		}
		return []model.Step{s}
	}}
}

// Guards, over random fleets and loads, against a wait beyond its bound, a bound beyond what
// a far run costs, work that never runs, a gang that starts in part, and plans that differ for
// equal inputs.
func TestWaitsKeepTheirBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := drawLoad(rt)
		r := l.begin(t, expectedGain)
		for at := time.Duration(0); at < 3*time.Second+replayDrain && (at < 3*time.Second || r.x.s.Workloads.Len() > 0); at += replayTick {
			r.step(at)
			checkWaits(rt, r)
			checkGangs(rt, r)
		}
		if left := r.x.s.Workloads.Len(); left > 0 {
			rt.Fatalf("%d workloads never ran", left)
		}
	})
}

func checkWaits(t *rapid.T, r *replay) {
	for step, w := range r.memory.near.Waits {
		if w.Tasks > 0 && r.x.s.Clock >= w.Until {
			t.Fatalf("step %v waits at %d, bound %d", step, r.x.s.Clock, w.Until)
		}
		if bound := w.Until.Sub(w.Since); bound > near.MaxWait || bound > 2*w.Extra {
			t.Fatalf("step %v may wait for %s; a far run takes %s longer", step, bound, w.Extra)
		}
	}
	options := Options{Now: r.x.s.Clock, RemoteDataFactor: replayFactor, Near: r.memory.near}
	workers := r.offers(0)
	first, second := Decide(r.x.s, workers, options), Decide(r.x.s, workers, options)
	assert.DeepEqual(t, first, second)
}

func checkGangs(t *rapid.T, r *replay) {
	for _, w := range r.x.s.Workloads.All() {
		running := w.Rounds.Step(0, 0).Tasks.Runs()
		if w.Steps[0].Gang && running > 0 && running < w.Steps[0].Count {
			t.Fatalf("%d of %d members of a gang run", running, w.Steps[0].Count)
		}
	}
}

// Guards against a gain of the wrong sign: whatever the inputs, a wait begins only if it saves
// more than it takes, and never for unknown run times.
func TestWaitsBeginOnlyForAGain(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		duration := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(rt, name)) * time.Millisecond
		}
		c := near.Choice{
			Now: 1000, Wait: duration("wait", 3000), Run: duration("run", 4000), Factor: 1 + float64(rapid.IntRange(0, 30).Draw(rt, "factor"))/10,
			Slack: duration("slack", 6000) - 3*time.Second, Contended: rapid.Bool().Draw(rt, "contended"),
			OthersFar: rapid.Bool().Draw(rt, "alone"), Short: rapid.Float64Range(0, 1).Draw(rt, "short"),
		}
		w, ok := near.Decide(c)
		if !ok {
			return
		}
		extra := time.Duration((c.Factor - 1) * float64(c.Run))
		if c.Wait >= 2*extra || !c.Contended && (c.OthersFar || c.Wait >= extra) {
			rt.Fatalf("waits %s to save %s", c.Wait, extra)
		}
		if c.Slack >= extra && c.Slack < c.Wait {
			rt.Fatal("misses the target that a far run meets")
		}
		if w.Until <= c.Now {
			rt.Fatal("the wait has no length")
		}
	})
}
