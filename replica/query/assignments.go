package query

import (
	"context"
	"time"

	"connectrpc.com/connect"

	replicav1 "lacewingturn.example/api/gen/lacewingturn/replica/v1"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/query"
	"lacewingturn.example/core/result"
	"lacewingturn.example/replica"
)

// MaxWait bounds a long poll.
const MaxWait = 10 * time.Second

// StaleAfter is the age of the last contact with a leader after which a replica
// does not answer workers, so that they are served by another one. It equals
// the time after which an entry instance is not ready.
const StaleAfter = 2500 * time.Millisecond

// Assignments answers at once if the jobs of the worker have changed since the
// index of the request, else when they change or after the wait that it names.
// A view without news costs two comparisons.
func (h *Handler) Assignments(ctx context.Context, req *connect.Request[replicav1.AssignmentsRequest]) (*connect.Response[replicav1.AssignmentsResponse], error) {
	worker, since := model.InstanceID(req.Msg.Worker), model.Index(req.Msg.Index)
	v := h.replica.View()
	if age := time.Since(v.LeaderContact); age > StaleAfter {
		return nil, connect.NewError(connect.CodeUnavailable, result.New(result.NoQuorum, "this replica has had no contact with a leader for %s", age.Round(time.Millisecond)))
	}
	timer := time.NewTimer(min(time.Duration(req.Msg.WaitMs)*time.Millisecond, MaxWait))
	defer timer.Stop()
	for {
		if list, index := query.Assignments(v.State, worker); index > since {
			return connect.NewResponse(&replicav1.AssignmentsResponse{Index: uint64(index), Changed: true, Assignments: assignments(list)}), nil
		}
		next, err := h.nextChange(ctx, timer.C, v.State)
		if err != nil {
			return nil, err
		}
		if next == nil {
			return connect.NewResponse(&replicav1.AssignmentsResponse{Index: uint64(since)}), nil
		}
		v = next
	}
}

// nextChange waits for a view in which some worker is asked something else. It
// returns nil when the time is over. Changes that come faster than MinInterval
// are seen as one, so that a burst does not wake each poll for each change.
func (h *Handler) nextChange(ctx context.Context, end <-chan time.Time, held model.State) (*replica.View, error) {
	v := h.replica.View()
	for v.State.WorkerChanges.Same(held.WorkerChanges) {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-end:
			return nil, nil
		case <-v.Next:
		}
		if err := pause(ctx, MinInterval); err != nil {
			return nil, err
		}
		v = h.replica.View()
	}
	return v, nil
}

func assignments(list []query.Assignment) []*replicav1.Assignment {
	out := make([]*replicav1.Assignment, 0, len(list))
	for _, a := range list {
		out = append(out, &replicav1.Assignment{
			Job: string(a.Job), Token: a.Token, Class: a.Class, MilliCpu: a.Size.MilliCPU, MemoryMb: a.Size.MemoryMB,
			Accelerators: a.Size.Accelerators, DeclaredRunMs: a.DeclaredRun.Milliseconds(), Checkpoint: a.Checkpoint, Asked: uint32(a.Asked),
		})
	}
	return out
}
