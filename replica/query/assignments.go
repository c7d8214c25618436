package query

import (
	"context"
	"time"

	"connectrpc.com/connect"

	replicav1 "lacewingturn.example/api/gen/lacewingturn/replica/v1"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/query"
	"lacewingturn.example/core/result"
	"lacewingturn.example/node/wait"
	"lacewingturn.example/replica"
)

// StaleAfter is the time without contact with a leader after which a replica stops
// answering the polls of workers, so another replica serves them. It equals the
// time without contact with the control state after which an entry instance is not
// ready.
const StaleAfter = 2500 * time.Millisecond

// MaxPollsPerStream limits the number of workers whose polls one stream carries.
const MaxPollsPerStream = 8192

// Assignments answers the polls that an entry instance forwards, each as soon as
// the assignments of its worker have changed. All polls of an entry instance share
// one stream, so a poll without a change does not cost a call. The stream ends with
// CodeUnavailable if this replica has lost contact with the leader, and with
// CodeResourceExhausted if it carries more than MaxPollsPerStream workers.
func (h *Handler) Assignments(ctx context.Context, stream *connect.BidiStream[replicav1.AssignmentsRequest, replicav1.AssignmentsResponse]) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	requests := make(chan *replicav1.AssignmentsRequest)
	go func() {
		defer cancel()
		for {
			r, err := stream.Receive()
			if err != nil {
				return
			}
			select {
			case requests <- r:
			case <-ctx.Done():
				return
			}
		}
	}()
	p := &pollStream{view: h.replica.View(), since: map[model.InstanceID]model.Index{}, send: stream.Send}
	return p.run(ctx, h.replica, requests)
}

// pollStream is the state of one stream: the polls that have not been answered yet.
type pollStream struct {
	view  *replica.View
	since map[model.InstanceID]model.Index // index of the assignments that each worker already has
	send  func(*replicav1.AssignmentsResponse) error
}

// run answers polls until ctx ends or the replica has had no contact with a leader
// for StaleAfter. The first response is empty and shows that the replica serves.
func (p *pollStream) run(ctx context.Context, r replica.Replica, requests <-chan *replicav1.AssignmentsRequest) error {
	if err := p.send(&replicav1.AssignmentsResponse{}); err != nil {
		return err
	}
	stale := time.NewTicker(StaleAfter)
	defer stale.Stop()
	for {
		if age := time.Since(p.view.LeaderContact); age > StaleAfter {
			return connect.NewError(connect.CodeUnavailable, result.New(result.NoQuorum, "this replica has had no contact with a leader for %s", age.Round(time.Millisecond)))
		}
		var err error
		select {
		case <-ctx.Done():
			return ctx.Err()
		case req := <-requests:
			err = p.addPoll(model.InstanceID(req.Worker), model.Index(req.Index))
		case <-p.view.Next:
			// Changes within MinDeltaInterval are handled together.
			if err = wait.Sleep(ctx, MinDeltaInterval); err == nil {
				err = p.update(r.View())
			}
		case <-stale.C:
			err = p.update(r.View())
		}
		if err != nil {
			return err
		}
	}
}

// addPoll adds a poll, or replaces the earlier one of the worker. It answers the
// poll at once if the worker's assignments have changed since.
func (p *pollStream) addPoll(worker model.InstanceID, since model.Index) error {
	if _, known := p.since[worker]; !known && len(p.since) >= MaxPollsPerStream {
		return connect.NewError(connect.CodeResourceExhausted, result.New(result.Overloaded, "more than %d workers on one stream", MaxPollsPerStream))
	}
	p.since[worker] = since
	return p.answer(worker, since)
}

// update takes a newer view and answers the polls of workers whose assignments have
// changed in it. A view without such changes costs one comparison.
func (p *pollStream) update(v *replica.View) error {
	same := v.State.WorkerChanges.Same(p.view.State.WorkerChanges)
	p.view = v
	if same {
		return nil
	}
	for worker, since := range p.since {
		if err := p.answer(worker, since); err != nil {
			return err
		}
	}
	return nil
}

// answer answers the poll of a worker and removes it, if the worker's assignments
// have changed after index since.
func (p *pollStream) answer(worker model.InstanceID, since model.Index) error {
	s := p.view.State
	if change, _ := s.WorkerChanges.Get(worker); change.Index <= since {
		return nil
	}
	delete(p.since, worker)
	list, index := query.Assignments(s, worker)
	return p.send(&replicav1.AssignmentsResponse{Worker: string(worker), Index: uint64(index), Assignments: assignments(list)})
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
