package client

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	replicav1 "lacewingturn.example/api/gen/lacewingturn/replica/v1"
	"lacewingturn.example/api/gen/lacewingturn/replica/v1/replicav1connect"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/query"
)

// maxWorkers limits the workers that a poller tracks, so that callers that invent
// worker names cannot exhaust its memory.
const maxWorkers = 4096

// Errors that Assignments returns.
var (
	errNoReplica      = errors.New("client: poll for assignments failed: no control replica responds")
	errTooManyWorkers = fmt.Errorf("client: poll for assignments refused: the limit of %d workers is reached", maxWorkers)
)

// AssignmentPoller polls the control replicas for the jobs that are assigned to
// workers. The polls of all workers share one stream to one replica, at first the
// nearest; when the stream ends, the poller moves to the next replica. A poll with
// the same worker and index as an earlier unanswered poll is not sent again.
type AssignmentPoller struct {
	clients []replicav1connect.ReplicaQueryServiceClient
	polls   chan poll
	ended   chan poll
	serving atomic.Bool // a replica has responded on the current stream
	workers map[model.InstanceID]*trackedWorker
}

// poll is one call of Assignments.
type poll struct {
	worker model.InstanceID
	since  model.Index
	reply  chan pollResult
}

type pollResult struct {
	assigned query.AssignmentPoll
	err      error
}

// trackedWorker is a worker whose poll the replica has not answered.
type trackedWorker struct {
	since model.Index
	polls map[chan pollResult]poll // open calls
}

// NewAssignmentPoller returns a poller of the replicas at the addresses (host:port),
// nearest first. Run must be running for Assignments to return assignments.
func NewAssignmentPoller(addresses []string, httpClient connect.HTTPClient) *AssignmentPoller {
	r := &AssignmentPoller{polls: make(chan poll), ended: make(chan poll), workers: map[model.InstanceID]*trackedWorker{}}
	for _, a := range addresses {
		r.clients = append(r.clients, replicav1connect.NewReplicaQueryServiceClient(httpClient, "http://"+a))
	}
	return r
}

// Assignments returns the jobs of the worker as soon as they have changed since the
// index. If wait or ctx ends before that, it returns an unchanged result while a
// replica serves the stream, and an error if none does. It also returns an error
// if too many workers poll.
func (r *AssignmentPoller) Assignments(ctx context.Context, worker model.InstanceID, since model.Index, wait time.Duration) (query.AssignmentPoll, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	p := poll{worker: worker, since: since, reply: make(chan pollResult, 1)}
	select {
	case r.polls <- p:
	case <-ctx.Done():
		return r.unchanged(since)
	}
	select {
	case res := <-p.reply:
		return res.assigned, res.err
	case <-ctx.Done():
	}
	select {
	case r.ended <- p:
	case res := <-p.reply:
		return res.assigned, res.err
	}
	return r.unchanged(since)
}

// unchanged returns the result of a poll that ended without a change.
func (r *AssignmentPoller) unchanged(since model.Index) (query.AssignmentPoll, error) {
	if !r.serving.Load() {
		return query.AssignmentPoll{}, errNoReplica
	}
	return query.AssignmentPoll{Index: since}, nil
}

// Run keeps a stream to a replica open until ctx ends. Only its goroutine accesses
// the tracked workers.
func (r *AssignmentPoller) Run(ctx context.Context) {
	defer r.failPolls()
	for i := 0; ctx.Err() == nil; i++ {
		r.stream(ctx, r.clients[i%len(r.clients)])
		r.serving.Store(false)
		r.backoff(ctx, minBackoff+rand.N(minBackoff))
	}
}

// stream sends polls to one replica and delivers the responses until the stream ends.
func (r *AssignmentPoller) stream(ctx context.Context, c replicav1connect.ReplicaQueryServiceClient) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream := c.Assignments(ctx)
	defer func() { _, _ = stream.CloseRequest(), stream.CloseResponse() }()
	responses := make(chan *replicav1.AssignmentsResponse)
	go func() {
		defer cancel()
		for {
			m, err := stream.Receive()
			if err != nil {
				return
			}
			select {
			case responses <- m:
			case <-ctx.Done():
				return
			}
		}
	}()
	send := func(worker model.InstanceID, since model.Index) error {
		return stream.Send(&replicav1.AssignmentsRequest{Worker: string(worker), Index: uint64(since)})
	}
	if err := stream.Send(nil); err != nil { // opens the stream
		return
	}
	for worker, w := range r.workers {
		if len(w.polls) == 0 {
			delete(r.workers, worker)
		} else if send(worker, w.since) != nil {
			return
		}
	}
	for {
		var err error
		select {
		case <-ctx.Done():
			return
		case p := <-r.polls:
			if r.addPoll(p) {
				err = send(p.worker, p.since)
			}
		case p := <-r.ended:
			r.removePoll(p)
		case m := <-responses:
			r.deliver(m)
		}
		if err != nil {
			return
		}
	}
}

// backoff accepts polls for the duration d while there is no stream.
func (r *AssignmentPoller) backoff(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case p := <-r.polls:
			r.addPoll(p)
		case p := <-r.ended:
			r.removePoll(p)
		}
	}
}

// addPoll registers a poll and reports whether it must be sent to the replica.
func (r *AssignmentPoller) addPoll(p poll) bool {
	w := r.workers[p.worker]
	sent := w != nil && w.since == p.since
	if w == nil {
		if len(r.workers) >= maxWorkers {
			p.reply <- pollResult{err: errTooManyWorkers}
			return false
		}
		w = &trackedWorker{polls: map[chan pollResult]poll{}}
		r.workers[p.worker] = w
	}
	w.since = p.since
	w.polls[p.reply] = p
	return !sent
}

// removePoll removes a poll that has ended. Its worker stays tracked, so that the
// next poll since the same index sends no message.
func (r *AssignmentPoller) removePoll(p poll) {
	if w := r.workers[p.worker]; w != nil {
		delete(w.polls, p.reply)
	}
}

// deliver passes a response to the polls of its worker.
func (r *AssignmentPoller) deliver(m *replicav1.AssignmentsResponse) {
	r.serving.Store(true)
	worker := model.InstanceID(m.Worker)
	w := r.workers[worker]
	if w == nil || model.Index(m.Index) <= w.since {
		return // this replica lags: the worker already has this or a later state, such as from another entry instance
	}
	delete(r.workers, worker)
	res := query.AssignmentPoll{Index: model.Index(m.Index), Changed: true}
	for _, a := range m.Assignments {
		res.Jobs = append(res.Jobs, query.Assignment{
			Job: model.JobID(a.Job), Token: a.Token, Class: a.Class, Checkpoint: a.Checkpoint, Asked: model.Asked(a.Asked),
			Size:        model.Resources{MilliCPU: a.MilliCpu, MemoryMB: a.MemoryMb, Accelerators: a.Accelerators},
			DeclaredRun: time.Duration(a.DeclaredRunMs) * time.Millisecond,
		})
	}
	for reply := range w.polls {
		reply <- pollResult{assigned: res}
	}
}

// failPolls ends the open polls with errNoReplica when the poller stops.
func (r *AssignmentPoller) failPolls() {
	for _, w := range r.workers {
		for reply := range w.polls {
			reply <- pollResult{err: errNoReplica}
		}
	}
}
