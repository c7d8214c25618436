package model

import "time"

// QueueName names a queue of workloads.
type QueueName string

// CatalogVersion numbers catalogs. The operator chooses it; the highest one is in force.
type CatalogVersion int64

// Catalog is the set of queues and pools that operators publish as a whole.
type Catalog struct {
	Version CatalogVersion
	// Document is the text that the operator sent. Reads return it unchanged.
	Document []byte
	Queues   []Queue
	Pools    []WorkerPool
}

// Queue takes workloads at an address and runs their tasks on one pool.
type Queue struct {
	Name QueueName
	// Host and Prefix are the address. The longest prefix of a path decides.
	Host   string
	Prefix string
	Pool   PoolName
	// Priority orders queues of one pool; 0 comes first.
	Priority int
	// MaxFailures is the number of failed runs after which a task is given up.
	MaxFailures int
	// Stretch times the longest chain of a workload, and Target more, is the
	// time within which the workload should be complete.
	Stretch float64
	Target  time.Duration
	// Advised is set if the policy service decides which workers may run a step.
	Advised bool
	// AdviceTicket is how long a ticket of the policy service is valid.
	AdviceTicket time.Duration
}

// WorkerPool is a pool of instances that run the tasks of queues.
type WorkerPool struct {
	Name PoolName
	// EnforcesCapacity is set if workers refuse tasks that do not fit.
	EnforcesCapacity bool
	// Standby is set if the instances of the pool are powered off.
	Standby bool
}

// Queue returns the queue with the name.
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

// QueuesByName returns the queues for many look-ups.
func (c *Catalog) QueuesByName() map[QueueName]Queue {
	out := map[QueueName]Queue{}
	if c != nil {
		for _, q := range c.Queues {
			out[q.Name] = q
		}
	}
	return out
}

// Resolve returns the queue whose host matches and whose prefix is the longest
// that the path begins with, and the rest of the path.
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

// Pool returns the pool with the name.
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

// Prioritized reports whether queues of one pool have different priorities.
func (c *Catalog) Prioritized() bool {
	first := map[PoolName]int{}
	for _, q := range c.Queues {
		if p, ok := first[q.Pool]; ok && p != q.Priority {
			return true
		}
		first[q.Pool] = q.Priority
	}
	return false
}
