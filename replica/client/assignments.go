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

// maxWatched bounds the workers that a reader asks about, against callers that
// make up names.
const maxWatched = 4096

// Errors of polls.
var (
	errNoReplica = errors.New("client: no control replica answers")
	errTooMany   = fmt.Errorf("client: more than %d workers poll", maxWatched)
)

// Reader asks what workers are to run. The polls of all workers share one
// stream to one replica, the nearest at first; it changes to the next replica
// when the stream ends. A poll that repeats one without news sends nothing.
type Reader struct {
	clients []replicav1connect.ReplicaQueryServiceClient
	polls   chan poll
	left    chan poll
	serving atomic.Bool // a replica has answered on the present stream
	watched map[model.InstanceID]*watched
}

// poll is one call of Assignments.
type poll struct {
	worker model.InstanceID
	since  model.Index
	reply  chan pollReply
}

type pollReply struct {
	assigned query.Assigned
	err      error
}

// watched is a worker whose poll the replica has not answered.
type watched struct {
	since model.Index
	polls map[chan pollReply]poll // open calls
}

// NewReader returns a reader of the replicas at the addresses, nearest first.
func NewReader(addresses []string, httpClient connect.HTTPClient) *Reader {
	r := &Reader{polls: make(chan poll), left: make(chan poll), watched: map[model.InstanceID]*watched{}}
	for _, a := range addresses {
		r.clients = append(r.clients, replicav1connect.NewReplicaQueryServiceClient(httpClient, "http://"+a))
	}
	return r
}

// Assignments returns the jobs of the worker as soon as they have changed since
// the index, or unchanged after wait. It needs Run.
func (r *Reader) Assignments(ctx context.Context, worker model.InstanceID, since model.Index, wait time.Duration) (query.Assigned, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	p := poll{worker: worker, since: since, reply: make(chan pollReply, 1)}
	select {
	case r.polls <- p:
	case <-ctx.Done():
		return r.noNews(since)
	}
	select {
	case got := <-p.reply:
		return got.assigned, got.err
	case <-ctx.Done():
	}
	select {
	case r.left <- p:
	case got := <-p.reply:
		return got.assigned, got.err
	}
	return r.noNews(since)
}

func (r *Reader) noNews(since model.Index) (query.Assigned, error) {
	if !r.serving.Load() {
		return query.Assigned{}, errNoReplica
	}
	return query.Assigned{Index: since}, nil
}

// Run keeps a stream to a replica until ctx ends. It owns the watched workers.
func (r *Reader) Run(ctx context.Context) {
	defer r.refuse()
	for i := 0; ctx.Err() == nil; i++ {
		r.stream(ctx, r.clients[i%len(r.clients)])
		r.serving.Store(false)
		r.hold(ctx, minBackoff+rand.N(minBackoff))
	}
}

// stream carries polls to one replica until the stream ends.
func (r *Reader) stream(ctx context.Context, c replicav1connect.ReplicaQueryServiceClient) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream := c.Assignments(ctx)
	defer func() { _, _ = stream.CloseRequest(), stream.CloseResponse() }()
	answers := make(chan *replicav1.AssignmentsResponse)
	go func() {
		defer cancel()
		for {
			m, err := stream.Receive()
			if err != nil {
				return
			}
			select {
			case answers <- m:
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
	for worker, w := range r.watched {
		if len(w.polls) == 0 {
			delete(r.watched, worker)
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
			if r.watch(p) {
				err = send(p.worker, p.since)
			}
		case p := <-r.left:
			r.leave(p)
		case m := <-answers:
			r.take(m)
		}
		if err != nil {
			return
		}
	}
}

// hold takes polls while there is no stream.
func (r *Reader) hold(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case p := <-r.polls:
			r.watch(p)
		case p := <-r.left:
			r.leave(p)
		}
	}
}

// watch notes a poll and reports whether the replica has to be asked.
func (r *Reader) watch(p poll) bool {
	w := r.watched[p.worker]
	asked := w != nil && w.since == p.since
	if w == nil {
		if len(r.watched) >= maxWatched {
			p.reply <- pollReply{err: errTooMany}
			return false
		}
		w = &watched{polls: map[chan pollReply]poll{}}
		r.watched[p.worker] = w
	}
	w.since = p.since
	w.polls[p.reply] = p
	return !asked
}

func (r *Reader) leave(p poll) {
	if w := r.watched[p.worker]; w != nil {
		delete(w.polls, p.reply)
	}
}

// take hands an answer to the polls of its worker.
func (r *Reader) take(m *replicav1.AssignmentsResponse) {
	r.serving.Store(true)
	worker := model.InstanceID(m.Worker)
	w := r.watched[worker]
	if w == nil || model.Index(m.Index) <= w.since {
		return // the worker knows it from another entry instance
	}
	delete(r.watched, worker)
	got := query.Assigned{Index: model.Index(m.Index), Changed: true}
	for _, a := range m.Assignments {
		got.Jobs = append(got.Jobs, query.Assignment{
			Job: model.JobID(a.Job), Token: a.Token, Class: a.Class, Checkpoint: a.Checkpoint, Asked: model.Asked(a.Asked),
			Size:        model.Resources{MilliCPU: a.MilliCpu, MemoryMB: a.MemoryMb, Accelerators: a.Accelerators},
			DeclaredRun: time.Duration(a.DeclaredRunMs) * time.Millisecond,
		})
	}
	for reply := range w.polls {
		reply <- pollReply{assigned: got}
	}
}

// refuse ends the polls that nobody will answer.
func (r *Reader) refuse() {
	for _, w := range r.watched {
		for reply := range w.polls {
			reply <- pollReply{err: errNoReplica}
		}
	}
}
