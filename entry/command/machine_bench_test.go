package command

import (
	"fmt"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"lacewingturn.example/core/command/credit"
	"lacewingturn.example/core/command/dispatch"
	"lacewingturn.example/core/model"
	corequery "lacewingturn.example/core/query"
	"lacewingturn.example/core/table"
	"lacewingturn.example/entry"
	"lacewingturn.example/entry/query"
)

// noEffects discards the effects of the Machine.
type noEffects struct{}

func (noEffects) report(string, credit.Report)               {}
func (noEffects) handOver(string, []credit.Handover)         {}
func (noEffects) forward(string, []credit.Heartbeat)         {}
func (noEffects) check(destination)                          {}
func (noEffects) replaceConnections(destination)             {}
func (noEffects) propose(model.Command)                      {}
func (noEffects) limitConnections(destination, int)          {}
func (noEffects) retain(map[model.TargetID]destination, int) {}

// benchMachine returns a Machine that owns n targets of one service.
func benchMachine(n int, now time.Time) *Machine {
	m := newMachine(Settings{ID: "e1", Log: zap.NewNop(), Metrics: NewMetrics(prometheus.NewRegistry()), Source: &query.Source{}, Policy: dispatch.Default}, noEffects{})
	config := model.Config{Services: []model.Service{{Name: "s", Pool: "p", QueueLimit: 1 << 20}}, Limits: model.Limits{SlotsPerTarget: 8}}
	v := corequery.Traffic{
		Revision: 1, Config: &config,
		Instances: table.FromValues([]model.Instance{{ID: "w", Pool: "p", Phase: model.PhaseActive}}, func(i model.Instance) model.InstanceID { return i.ID }),
		Entries:   table.FromValues([]model.EntryMember{{ID: "e1", Epoch: 1}}, func(e model.EntryMember) model.EntryID { return e.ID }),
	}
	m.Handle(now, entry.TrafficChanged{View: v})
	m.Handle(now, entry.LeaseRenewed{Until: now.Add(1000 * time.Hour), Epoch: 1})
	m.Handle(now, entry.ViewConfirmed{At: now.Add(1000 * time.Hour)})
	for i := range n {
		id := model.TargetID(fmt.Sprintf("t%d", i))
		v.Targets = v.Targets.Set(id, model.Target{ID: id, Instance: "w", Service: "s", Address: "127.0.0.1:1", Slots: 8, Generation: 1, Phase: model.TargetReady})
	}
	m.Handle(now, entry.TrafficChanged{View: v})
	m.Flush(now)
	return m
}

// BenchmarkMachine measures the cost of one request on the control goroutine,
// with half of the slots in use, in batches of 16 messages, for different numbers
// of targets.
func BenchmarkMachine(b *testing.B) {
	for _, n := range []int{10, 50, 144, 720} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			now := time.Now()
			m := benchMachine(n, now)
			id := uint64(0)
			arrive := func() {
				id++
				m.Handle(now, arrival{id: id, service: "s", caller: "c", deadline: now.Add(time.Hour), reply: make(chan decision, 1)})
			}
			for range 4 * n {
				arrive()
				now = now.Add(10 * time.Millisecond)
				m.Flush(now)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				arrive()
				m.Handle(now, completion{id: id - uint64(4*n), sample: sample{kind: sampleDone, run: time.Millisecond}})
				if i%8 == 7 {
					now = now.Add(time.Millisecond)
					m.Tick(now)
					m.Flush(now)
				}
			}
		})
	}
}
