package fleet

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"lacewingturn.example/core/model"
)

// platformRequest is a call of the platform, which waits for its turn in the site's schedule: the
// machine calls on goroutines of its own.
type platformRequest struct {
	id       model.InstanceID // empty for a reading of the list
	carryOut func(now time.Time) error
	reply    chan error
	answerAt time.Time
	answer   error
}

// callPlatform hands a request to the site and waits for its answer.
func (s *handoverSite) callPlatform(ctx context.Context, id model.InstanceID, carryOut func(now time.Time) error) error {
	r := &platformRequest{id: id, carryOut: carryOut, reply: make(chan error, 1)}
	s.mu.Lock()
	s.arrived = append(s.arrived, r)
	s.mu.Unlock()
	select {
	case err := <-r.reply:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// serve carries out the calls that have arrived, and answers those whose time has come.
func (s *handoverSite) serve(now time.Time) {
	s.mu.Lock()
	arrived := s.arrived
	s.arrived = nil
	s.mu.Unlock()
	slices.SortStableFunc(arrived, func(a, b *platformRequest) int { return cmp.Compare(a.id, b.id) })
	for _, r := range arrived {
		s.carryOut(r, now)
	}
	s.answering = slices.DeleteFunc(append(s.answering, arrived...), func(r *platformRequest) bool {
		if now.Before(r.answerAt) {
			return false
		}
		r.reply <- r.answer
		return true
	})
}

// carryOut carries out a call at once. The answer to an order may be a refusal, late or lost.
func (s *handoverSite) carryOut(r *platformRequest, now time.Time) {
	luck := 100
	if !s.calm && r.id != "" {
		luck = s.rng.IntN(100)
	}
	switch {
	case luck < 10:
		r.answer = RefusedError{Reason: "rate"}
		return
	case luck < 25: // the answer is lost
		r.answerAt = now.Add(2 * time.Second)
	case luck < 40:
		r.answerAt = now.Add(time.Second)
	}
	if r.answer = r.carryOut(now); luck >= 10 && luck < 25 {
		r.answer = errors.New("no answer")
	}
}

// Instances implements Platform.
func (s *handoverSite) Instances(ctx context.Context) (InstanceList, error) {
	var out InstanceList
	err := s.callPlatform(ctx, "", func(time.Time) error {
		for _, i := range s.instances {
			out.Instances = append(out.Instances, ListedInstance{ID: i.id, Pool: i.pool, Up: i.backAt.IsZero(), Capacity: model.Resources{MilliCPU: siteCapacity, MemoryMB: 4000}})
		}
		return nil
	})
	return out, err
}

// Move implements Platform.
func (s *handoverSite) Move(ctx context.Context, id model.InstanceID, to model.PoolName, _ model.Term) error {
	return s.callPlatform(ctx, id, func(now time.Time) error {
		i := s.instance(id)
		switch {
		case i.pool == to:
			return nil
		case !i.backAt.IsZero():
			return RefusedError{Reason: "busy"}
		}
		s.mayChangeLeader(now)
		s.endAll(i, now, "a move")
		i.pool, i.backAt = to, now.Add(siteMoveTime)
		return nil
	})
}

// Maintain implements Platform.
func (s *handoverSite) Maintain(ctx context.Context, id model.InstanceID, number model.UpkeepNumber, _ model.Term) error {
	return s.callPlatform(ctx, id, func(now time.Time) error {
		i := s.instance(id)
		switch {
		case i.done[number]:
			return nil
		case !i.backAt.IsZero():
			return RefusedError{Reason: "busy"}
		}
		down := 0
		for _, o := range s.instances {
			if o.forUpkeep == number {
				down++
			}
		}
		if down >= siteCap {
			s.t.Errorf("%s: upkeep of %s begins while %d instances are down for theirs", now.Format("05.000"), id, down)
		}
		s.mayChangeLeader(now)
		s.endAll(i, now, "an upkeep")
		i.done[number], i.forUpkeep, i.backAt = true, number, now.Add(siteUpkeepTime)
		return nil
	})
}

func (s *handoverSite) instance(id model.InstanceID) *siteInstance {
	return s.instances[slices.IndexFunc(s.instances, func(i *siteInstance) bool { return i.id == id })]
}

// endAll ends all runs on an instance, whose worker does not come back.
func (s *handoverSite) endAll(i *siteInstance, now time.Time, what string) {
	if i.worker == nil {
		return
	}
	for _, r := range i.worker.runs {
		s.endByOrder(i.worker, r, now, what)
	}
	i.worker = nil
}
