package model

import "time"

// QueueName identifies a queue of workloads within one catalog. Operators may give the
// queue another name in the next one.
type QueueName string

// QueueAddress is where callers reach a queue. It identifies the queue across catalogs.
type QueueAddress struct {
	Host   string
	Prefix string
}

// CatalogVersion is the version number of a catalog, chosen by the operator. The
// catalog with the highest version is in force.
type CatalogVersion int64

// Catalog is the set of queues and worker pools. Operators publish it as a whole.
type Catalog struct {
	Version CatalogVersion
	// Document is the document as received from the operator. Reads return it
	// byte for byte.
	Document []byte
	Queues   []Queue
	Pools    []WorkerPool
	// RequireKeys is set if calls need the key of a client account, except those of public
	// queues. Without it all callers are anonymous.
	RequireKeys bool            `cbor:",omitempty"`
	Accounts    []ClientAccount `cbor:",omitempty"`
	// Keys holds the keys of all accounts in ascending order of their digests.
	Keys []AccountKey `cbor:",omitempty"`
}

// Queue accepts workloads at an address and runs their tasks on one pool.
type Queue struct {
	Name QueueName
	// Host and Prefix are the address. If several prefixes match a path, the
	// longest one selects the queue.
	Host   string
	Prefix string
	Pool   PoolName
	// Priority orders the queues of one pool; 0 is the highest priority.
	Priority int
	// MaxFailures is the number of failed runs of one task after which its
	// workload fails. Lasting tasks have no such limit.
	MaxFailures int
	// Stretch and Target set the target completion time of a workload: Stretch
	// times the critical path of its steps, plus Target.
	Stretch float64
	Target  time.Duration
	// Advised is true if the policy service decides which workers may run a step.
	Advised bool
	// AdviceTicket is the validity period of a ticket issued by the policy service.
	AdviceTicket time.Duration
	// Public is true if calls need no key.
	Public bool `cbor:",omitempty"`
}

// Address returns the address of the queue.
func (q Queue) Address() QueueAddress { return QueueAddress{q.Host, q.Prefix} }

// WorkerPool is a pool of instances whose workers run the tasks of queues.
type WorkerPool struct {
	Name PoolName
	// EnforcesCapacity is true if workers reject tasks that exceed their capacity.
	EnforcesCapacity bool
	// Standby is true if the instances of the pool are powered off.
	Standby bool
}

// Queue returns the queue with the given name. It scans the list; use
// QueuesByName for repeated look-ups. A nil catalog has no queues.
func (c *Catalog) Queue(name QueueName) (Queue, bool) {
	if c != nil {
		for _, q := range c.Queues {
			if q.Name == name {
				return q, true
			}
		}
	}
	return Queue{}, false
}

// QueueOf returns the queue of the workload; false if the catalog has it no more. It
// scans the list; use QueuesByName for repeated look-ups. A nil catalog has no queues.
func (c *Catalog) QueueOf(w Workload) (Queue, bool) {
	if q, ok := c.Queue(w.Queue); ok && w.isIn(&q) {
		return q, true
	}
	return Queue{}, false
}

// Queues are the queues of a catalog by name. They are not modified.
type Queues map[QueueName]*Queue

// QueuesByName returns the queues as a map, for callers that make many look-ups.
// The map of a nil catalog is empty.
func (c *Catalog) QueuesByName() Queues {
	out := Queues{}
	if c != nil {
		for i := range c.Queues {
			out[c.Queues[i].Name] = &c.Queues[i]
		}
	}
	return out
}

// Of returns the queue of the workload; nil and false if the catalog has it no more.
func (q Queues) Of(w *Workload) (*Queue, bool) {
	found, ok := q[w.Queue]
	if !ok || !w.isIn(found) {
		return nil, false
	}
	return found, true
}

// Resolve returns the queue whose host equals host and whose prefix is the
// longest match for path, together with the remainder of the path. It reports
// false if no queue matches or the catalog is nil.
func (c *Catalog) Resolve(host, path string) (q Queue, rest string, ok bool) {
	if c == nil {
		return q, "", false
	}
	for _, candidate := range c.Queues {
		n := len(candidate.Prefix)
		if candidate.Host != host || len(path) < n || path[:n] != candidate.Prefix || ok && n <= len(q.Prefix) {
			continue
		}
		q, rest, ok = candidate, path[n:], true
	}
	return q, rest, ok
}

// Pool returns the worker pool with the given name. A nil catalog has no pools.
func (c *Catalog) Pool(name PoolName) (WorkerPool, bool) {
	if c != nil {
		for _, p := range c.Pools {
			if p.Name == name {
				return p, true
			}
		}
	}
	return WorkerPool{}, false
}

// HasPriorities reports whether any pool has queues of different priorities.
func (c *Catalog) HasPriorities() bool {
	first := map[PoolName]int{}
	for _, q := range c.Queues {
		if p, ok := first[q.Pool]; ok && p != q.Priority {
			return true
		}
		first[q.Pool] = q.Priority
	}
	return false
}
