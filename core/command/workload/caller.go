package workload

import (
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// target is what a call is about: a workload of a queue, and the account of the caller.
type target struct {
	queue   model.Queue
	id      model.WorkloadID
	account model.AccountName // empty for an anonymous caller
}

// resolve returns the target of a call to the host and path with the key. Keys are judged
// here, by the catalog in force at this entry of the log, so that no call that is committed
// after the withdrawal of its key has an effect.
func resolve(s *model.State, host, path string, key *model.KeyDigest) (target, result.Result) {
	if s.Catalog == nil {
		return target{}, result.New(result.NoCatalog, "no catalog of queues is published yet")
	}
	queue, rest, ok := s.Catalog.Resolve(host, path)
	if !ok {
		return target{}, result.New(result.NotFound, "no queue at %s%s", host, path)
	}
	account, ok := s.Catalog.Identify(&queue, key)
	if !ok {
		return target{}, result.New(result.UnknownKey, "queue %q needs the key of a client account", queue.Name)
	}
	return target{queue, model.WorkloadID(rest), account}, result.Result{Code: result.OK}
}

// ownerOf returns the owner of a workload, active or ended; false if it is not known.
func ownerOf(s *model.State, id model.WorkloadID) (model.Owner, bool) {
	if w, ok := s.Workloads.Get(id); ok {
		return w.Owner(), true
	}
	f, ok := s.Finished.Get(id)
	return f.Owner(), ok
}

// otherQueue refuses a call to one queue about a workload of another one, whose caller uses
// the same ID.
func otherQueue(w *model.Workload) result.Result {
	return result.New(result.Exists, "workload %q belongs to queue %q", w.ID, w.Queue)
}

func wrongAccount(id model.WorkloadID) result.Result {
	return result.New(result.WrongAccount, "workload %q belongs to another client account", id)
}
