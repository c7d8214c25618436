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

// fakeReplica is a replica.Replica whose views are set by the test.
type fakeReplica struct {
	view atomic.Pointer[replica.View]
	next chan struct{}
}

func newFakeReplica(t testing.TB) *fakeReplica {
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
	panic("a query must not propose commands")
}

// startStream runs a pollStream on f and waits until it serves. The channels carry
// its requests, its responses and its final error.
func startStream(t testing.TB, f *fakeReplica) (chan<- *replicav1.AssignmentsRequest, <-chan *replicav1.AssignmentsResponse, <-chan error) {
	requests, answers, end := make(chan *replicav1.AssignmentsRequest), make(chan *replicav1.AssignmentsResponse, 16), make(chan error, 1)
	p := &pollStream{view: f.View(), since: map[model.InstanceID]model.Index{}, send: func(m *replicav1.AssignmentsResponse) error {
		answers <- m
		return nil
	}}
	go func() { end <- p.run(t.Context(), f, requests) }()
	assert.Equal(t, (<-answers).Worker, "", "the first response is empty and shows that the replica serves")
	return requests, answers, end
}

func submit(id model.JobID) model.Command {
	return model.SubmitJob{Job: model.Job{ID: id, Pool: "p", Declared: model.Resources{MilliCPU: 1000, MemoryMB: 1000}}}
}

// Guards against a poll that misses a change of its worker's assignments or is
// answered for a change of another worker, also if the leader changes meanwhile.
func TestPollIsAnsweredOnlyWhenItsWorkersAssignmentsChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeReplica(t)
		polls, answers, _ := startStream(t, f)
		polls <- &replicav1.AssignmentsRequest{Worker: "w0"}
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
		m := <-answers
		assert.Equal(t, m.Worker, "w0")
		assert.Equal(t, len(m.Assignments), 1)
		assert.Equal(t, m.Assignments[0].Job, "b")
		assert.Equal(t, m.Assignments[0].Token, m.Index)
		assert.Equal(t, time.Since(begin), 3*time.Second+MinDeltaInterval)

		f.apply(t, model.CancelJob{ID: "b"})
		synctest.Wait()
		assert.Equal(t, len(answers), 0, "each request is answered once")
		polls <- &replicav1.AssignmentsRequest{Worker: "w0", Index: m.Index}
		m = <-answers
		assert.Equal(t, m.Assignments[0].Asked, uint32(model.AskedCancel))
	})
}

// Guards against a partitioned replica that sends assignments with expired leases,
// and against a lagging replica that revokes newer assignments which the worker
// already has.
func TestStaleReplicaSendsNoAssignments(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeReplica(t)
		f.apply(t, submit("a"), model.PlaceJob{ID: "a", Worker: "w0"})
		polls, answers, end := startStream(t, f)
		polls <- &replicav1.AssignmentsRequest{Worker: "w0", Index: 100}
		err := <-end
		assert.Equal(t, len(answers), 0)
		assert.Equal(t, connect.CodeOf(err), connect.CodeUnavailable)
	})
}

// BenchmarkAssignmentsAfterChange measures the cost of a change that answers one of
// 720 polls, with 1,000 and with 100,000 queued jobs. The number of queued jobs must
// not matter: the ratio of the two results has to be about 1.
func BenchmarkAssignmentsAfterChange(b *testing.B) {
	for _, queued := range []int{1_000, 100_000} {
		b.Run(fmt.Sprintf("queued=%d", queued), func(b *testing.B) {
			f := newFakeReplica(b)
			commands := []model.Command{}
			for i := range queued {
				commands = append(commands, submit(model.JobID(fmt.Sprint("q", i))))
			}
			f.apply(b, commands...)
			before := f.View()
			f.apply(b, submit("a"), model.PlaceJob{ID: "a", Worker: "w0"})
			after, sent := f.View(), 0
			p := &pollStream{since: map[model.InstanceID]model.Index{}, send: func(*replicav1.AssignmentsResponse) error { sent++; return nil }}
			for i := range 720 {
				p.since[model.InstanceID(fmt.Sprint("w", i))] = 0
			}
			rounds := 0
			for b.Loop() {
				p.view, p.since["w0"] = before, 0
				if err := p.update(after); err != nil {
					b.Fatal(err)
				}
				rounds++
			}
			if sent != rounds {
				b.Fatalf("%d answers in %d rounds", sent, rounds)
			}
		})
	}
}
