package client

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	replicav1 "lacewingturn.example/api/gen/lacewingturn/replica/v1"
	"lacewingturn.example/api/gen/lacewingturn/replica/v1/replicav1connect"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/query"
)

// answerGrace is how much longer than its wait a poll may take before the
// replica counts as silent.
const answerGrace = time.Second

// Reader asks what workers are to run. It asks one replica,
// the nearest at first, and changes to the next when it fails. It is safe for
// concurrent use.
type Reader struct {
	clients []replicav1connect.ReplicaQueryServiceClient
	current atomic.Uint64 // index of the replica in use, modulo their number
}

// NewReader returns a reader of the replicas at the addresses, nearest first.
func NewReader(addresses []string, httpClient connect.HTTPClient) *Reader {
	r := &Reader{}
	for _, a := range slices.Clone(addresses) {
		r.clients = append(r.clients, replicav1connect.NewReplicaQueryServiceClient(httpClient, "http://"+a))
	}
	return r
}

// Assignments returns the jobs of the worker as soon as they have changed since
// the index, or unchanged after wait. Each replica is asked once; those
// that fail at once leave the whole wait to the others.
func (r *Reader) Assignments(ctx context.Context, worker model.InstanceID, since model.Index, wait time.Duration) (query.Assigned, error) {
	end := time.Now().Add(wait)
	var errs []error
	for range r.clients {
		at := r.current.Load()
		got, err := r.ask(ctx, at, worker, since, time.Until(end))
		if err == nil || ctx.Err() != nil {
			return got, err
		}
		errs = append(errs, err)
		r.current.CompareAndSwap(at, at+1)
		if !time.Now().Before(end) {
			break
		}
	}
	return query.Assigned{}, errors.Join(errs...)
}

func (r *Reader) ask(ctx context.Context, at uint64, worker model.InstanceID, since model.Index, wait time.Duration) (query.Assigned, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+answerGrace)
	defer cancel()
	resp, err := r.clients[at%uint64(len(r.clients))].Assignments(ctx, connect.NewRequest(&replicav1.AssignmentsRequest{
		Worker: string(worker), Index: uint64(since), WaitMs: uint32(max(wait, 0).Milliseconds()),
	}))
	if err != nil {
		return query.Assigned{}, err
	}
	out := query.Assigned{Index: model.Index(resp.Msg.Index), Changed: resp.Msg.Changed}
	for _, a := range resp.Msg.Assignments {
		out.Jobs = append(out.Jobs, query.Assignment{
			Job: model.JobID(a.Job), Token: a.Token, Class: a.Class, Checkpoint: a.Checkpoint, Asked: model.Asked(a.Asked),
			Size:        model.Resources{MilliCPU: a.MilliCpu, MemoryMB: a.MemoryMb, Accelerators: a.Accelerators},
			DeclaredRun: time.Duration(a.DeclaredRunMs) * time.Millisecond,
		})
	}
	return out, nil
}
