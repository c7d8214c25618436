package query

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	replicav1 "lacewingturn.example/api/gen/lacewingturn/replica/v1"
	"lacewingturn.example/core/command"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/replica"
)

// fakeReplica publishes the views that a test makes.
type fakeReplica struct {
	view atomic.Pointer[replica.View]
	next chan struct{}
}

func newReplica(t testing.TB) *fakeReplica {
	f := &fakeReplica{}
	s := model.State{}
	for i := range 2 {
		id := model.InstanceID(fmt.Sprint("w", i))
		s.Instances = s.Instances.Set(id, model.Instance{ID: id, Pool: "p", Phase: model.PhaseActive, Capacity: model.Resources{MilliCPU: 8000, MemoryMB: 8000}})
	}
	f.publish(replica.View{State: s, Term: 1, LeaderContact: time.Now()})
	return f
}

func (f *fakeReplica) publish(v replica.View) {
	old := f.next
	f.next = make(chan struct{})
	v.Next = f.next
	f.view.Store(&v)
	if old != nil {
		close(old)
	}
}

func (f *fakeReplica) apply(t testing.TB, commands ...model.Command) {
	t.Helper()
	v := *f.view.Load()
	for _, c := range commands {
		var r result.Result
		v.State, r = command.Apply(v.State, v.State.Index+1, v.Term, model.Envelope{Time: 1, Command: c})
		assert.Assert(t, r.Code.OK(), r.Error())
	}
	v.LeaderContact = time.Now()
	f.publish(v)
}

func (f *fakeReplica) View() *replica.View { return f.view.Load() }

func (f *fakeReplica) Propose(context.Context, []model.Envelope) ([]result.Result, error) {
	panic("a query proposes nothing")
}

func ask(t testing.TB, f *fakeReplica, worker string, index uint64) *replicav1.AssignmentsResponse {
	t.Helper()
	resp, err := New(f).Assignments(t.Context(), connect.NewRequest(&replicav1.AssignmentsRequest{Worker: worker, Index: index, WaitMs: 10_000}))
	assert.NilError(t, err)
	return resp.Msg
}

func submit(id model.JobID) model.Command {
	return model.SubmitJob{Job: model.Job{ID: id, Pool: "p", Declared: model.Resources{MilliCPU: 1000, MemoryMB: 1000}}}
}

// Guards against a poll that misses a change, answers for the change of another
// worker, or does not end, also when the leader changes meanwhile.
func TestAssignmentsWaitForNewsOfTheWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newReplica(t)
		begin := time.Now()
		go func() {
			time.Sleep(time.Second)
			f.apply(t, submit("a"), model.PlaceJob{ID: "a", Worker: "w1"})
			time.Sleep(time.Second)
			v := *f.view.Load()
			v.Term, v.Leader = 2, "other"
			f.publish(v)
			time.Sleep(time.Second)
			f.apply(t, submit("b"), model.PlaceJob{ID: "b", Worker: "w0"})
		}()
		m := ask(t, f, "w0", 0)
		assert.Assert(t, m.Changed)
		assert.Equal(t, len(m.Assignments), 1)
		assert.Equal(t, m.Assignments[0].Job, "b")
		assert.Equal(t, m.Assignments[0].Token, m.Index)
		assert.Equal(t, time.Since(begin).Round(time.Second), 3*time.Second)

		begin = time.Now()
		assert.Assert(t, !ask(t, f, "w0", m.Index).Changed)
		assert.Equal(t, time.Since(begin).Round(time.Second), MaxWait)

		f.apply(t, model.CancelJob{ID: "b"})
		begin = time.Now()
		m = ask(t, f, "w0", m.Index)
		assert.Equal(t, m.Assignments[0].Asked, uint32(model.AskedCancel))
		assert.Equal(t, time.Since(begin), time.Duration(0), "news is answered at once")
	})
}

// Guards against a replica that is cut off and hands out leases that have ended,
// and against one that is behind and takes back what the worker knows already.
func TestAssignmentsOfAnOlderReplicaAreNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newReplica(t)
		f.apply(t, submit("a"), model.PlaceJob{ID: "a", Worker: "w0"})
		m := ask(t, f, "w0", 100)
		assert.Assert(t, !m.Changed)
		assert.Equal(t, m.Index, uint64(100))
		time.Sleep(StaleAfter + time.Millisecond)
		_, err := New(f).Assignments(t.Context(), connect.NewRequest(&replicav1.AssignmentsRequest{Worker: "w0"}))
		assert.Equal(t, connect.CodeOf(err), connect.CodeUnavailable)
	})
}

// BenchmarkAssignmentsAfterChange measures the query of one worker with many
// queued jobs; the ratio between the sizes has to be about 1.
func BenchmarkAssignmentsAfterChange(b *testing.B) {
	for _, queued := range []int{1_000, 100_000} {
		b.Run(fmt.Sprintf("queued=%d", queued), func(b *testing.B) {
			f := newReplica(b)
			commands := []model.Command{submit("a"), model.PlaceJob{ID: "a", Worker: "w0"}}
			for i := range queued {
				commands = append(commands, submit(model.JobID(fmt.Sprint("q", i))))
			}
			f.apply(b, commands...)
			for b.Loop() {
				if !ask(b, f, "w0", 0).Changed {
					b.Fatal("no answer")
				}
			}
		})
	}
}
