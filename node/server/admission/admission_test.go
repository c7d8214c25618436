package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var testBudget = Budget{Bytes: 4 << 20, Connections: 64}

func testListener(essential bool) *Listener {
	return &Listener{Essential: essential, Limits: Limits{
		HeadBytes: 16 << 10, BodyBytes: 1 << 20, HeadTime: 3 * time.Second, IdleTime: 15 * time.Second, LagTime: 5 * time.Second, MinRate: 16 << 10,
	}}
}

// Guards against a budget that is exceeded, and against bytes or connections that are never
// given back, for any order of events.
func TestBudgetHolds(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		table, now := NewTable(testBudget), time.Unix(0, 0)
		listeners := []*Listener{testListener(false), testListener(true)}
		var open []*Account
		for range 2000 {
			now = now.Add(time.Duration(rng.IntN(100)) * time.Millisecond)
			if a := (&Account{}); rng.IntN(4) == 0 {
				if _, ok := table.Connect(now, a, listeners[rng.IntN(2)]); ok {
					open = append(open, a)
				}
			}
			if len(open) > 0 {
				a := open[rng.IntN(len(open))]
				switch rng.IntN(6) {
				case 0:
					table.Close(a)
				case 1:
					table.Begin(now, a, Phase(rng.IntN(int(Writing)+1)))
				case 2:
					table.EndWriting(now, a)
				case 3:
					table.Expire(now)
				default:
					table.Take(now, a, rng.Int64N(1<<20))
					table.Move(a, rng.Int64N(1<<16))
				}
			}
			assert.Assert(t, table.Used() <= testBudget.Bytes && table.Connections() <= testBudget.Connections, "seed %d: %d bytes, %d connections", seed, table.Used(), table.Connections())
		}
		for _, a := range open {
			table.Close(a)
		}
		assert.Equal(t, table.Used(), int64(0))
		assert.Equal(t, table.Connections(), 0)
		assert.Equal(t, len(table.accounts), 0)
	}
}

// Guards against a crowd that stops short of its end and keeps a request inside the limits
// from being served.
func TestStalledRequestsAreEvicted(t *testing.T) {
	table, now, l := NewTable(testBudget), time.Unix(0, 0), testListener(false)
	var crowd []*Account
	for range testBudget.Connections {
		a := &Account{}
		if _, ok := table.Connect(now, a, l); !ok {
			continue
		}
		table.Begin(now, a, Body)
		table.Take(now, a, 256<<10)
		crowd = append(crowd, a)
	}
	now = now.Add(time.Second)
	ordinary := &Account{}
	victims, ok := table.Connect(now, ordinary, l)
	assert.Assert(t, ok && len(victims) == 1)
	table.Begin(now, ordinary, Body)
	victims, ok = table.Take(now, ordinary, 1<<20)
	assert.Assert(t, ok && len(victims) > 0)
	for _, v := range victims {
		assert.Assert(t, v != ordinary && !v.Open())
	}
	assert.Assert(t, len(crowd) > len(victims), "more were closed than needed")
}

// Guards against a small request that is refused because large ones that still make progress
// fill the budget, and against an essential listener that gets no connection.
func TestReserves(t *testing.T) {
	table, now, l := NewTable(testBudget), time.Unix(0, 0), testListener(false)
	for {
		a := &Account{}
		if _, ok := table.Connect(now, a, l); !ok {
			break
		}
		table.Begin(now, a, Body)
		table.Take(now, a, 1<<20)
	}
	small := &Account{}
	_, ok := table.Connect(now, small, testListener(true))
	assert.Assert(t, ok, "no connection for an essential listener")
	_, ok = table.Take(now, small, SmallBytes/2)
	assert.Assert(t, ok, "a small request was refused")
}

// Guards against a slow sender that keeps its request open for ever with a byte from time to
// time, against a request inside the limits that is closed, and against a running request
// that is closed, although it may have taken effect.
func TestExpire(t *testing.T) {
	table, now, l := NewTable(testBudget), time.Unix(0, 0), testListener(false)
	connect := func(p Phase) *Account {
		a := &Account{}
		_, ok := table.Connect(now, a, l)
		assert.Assert(t, ok)
		table.Begin(now, a, p)
		return a
	}
	slow, steady, running, head, idle := connect(Body), connect(Body), connect(Running), connect(Head), connect(Idle)
	reasons := map[*Account]Reason{}
	for range 60 {
		now = now.Add(time.Second)
		table.Move(slow, 1)
		table.Move(steady, l.Limits.MinRate)
		for _, e := range table.Expire(now) {
			reasons[e.Account] = e.Reason
		}
	}
	assert.DeepEqual(t, []Reason{reasons[slow], reasons[steady], reasons[running], reasons[head], reasons[idle]}, []Reason{BodyRate, "", "", HeadTime, IdleTime})
}
