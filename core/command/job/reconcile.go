package job

import (
	"time"

	"lacewingturn.example/core/model"
)

// Limits of one pass of Reconcile, so that it does not block the caller's loop. The
// next pass proposes what is left.
const (
	maxPlacements  = 512
	maxGroups      = 16384 // queue groups; see head
	maxTeamGroups  = 64    // queue groups per team, pool and urgency
	maxPreemptions = 256
	// passInterval is the time from a pass that reached maxPlacements to the next
	// one. It leaves time to commit the proposals.
	passInterval = 20 * time.Millisecond
	// retryAfter is when proposals that had no effect are made again.
	retryAfter = 500 * time.Millisecond
)

// Long jobs may use longShareNum/longShareDen of the processors of a pool, so that
// capacity is left for short jobs. A job is long if the typical run time of its class
// is at least longFactor times that of the shortest class of the pool.
const (
	longFactor   = 8
	longShareNum = 3
	longShareDen = 4
)

// Reconcile proposes commands for the jobs: leases to expire, jobs to place, and
// jobs to checkpoint, throttle or stop for others. It may be called at any time,
// because Apply checks each command again. The second result is when to call it
// again even if the state does not change; 0 means never.
func Reconcile(s model.State, now model.Timestamp) ([]model.Command, model.Timestamp) {
	p := newPlanner(s, now)
	p.scanActive()
	heads := p.queueHeads()
	p.findShortRuns(heads)
	borrowers := p.placeAll(heads, false)
	p.placeAll(borrowers, true)
	if len(p.commands) > 0 {
		p.dueAt(now.Add(retryAfter))
	}
	return p.commands, p.next
}

// planner holds the working state of one pass.
type planner struct {
	s           model.State
	now         model.Timestamp
	commands    []model.Command
	next        model.Timestamp
	workers     map[model.InstanceID]*worker
	pools       map[model.PoolName]*pool
	teams       map[model.TeamName]*team
	domains     map[string]int               // numbers of data centres and racks, by name
	spread      map[string]*spread           // by class
	preempted   map[model.JobID][]preemption // by the waiting job that they are preempted for
	placed      int
	preemptions int
}

// worker is a schedulable instance.
type worker struct {
	model.Instance
	free        model.Resources
	jobs        []model.Job
	reservedFor model.JobID // the waiting job that jobs here are preempted for; empty if none
	dataCenter  int         // domain number
	rack        int         // domain number
}

// pool holds the workers of a pool and totals over them.
type pool struct {
	workers  []*worker
	milliCPU int64         // capacity
	longCPU  int64         // reserved by long jobs
	shortRun time.Duration // shortest typical run time of the classes with queued or active jobs; 0 if unknown
	// full lists sizes that fit on no worker. A pass only takes capacity, so larger
	// jobs do not fit either for the rest of the pass.
	full []model.Resources
	// preemptible is set if the pool has borrowed jobs or stragglers.
	preemptible bool
}

// team holds the quota of a team and the resources that its jobs have reserved.
type team struct {
	limited bool
	quota   model.Resources
	used    model.Resources
}

// spread counts the active jobs of one class in each data centre and rack.
type spread struct{ dataCenters, racks []int }

// preemption is a job that has a lease and was requested to make room for a waiting
// job.
type preemption struct {
	worker *worker
	job    model.Job
}

func newPlanner(s model.State, now model.Timestamp) *planner {
	p := &planner{
		s: s, now: now, workers: map[model.InstanceID]*worker{}, pools: map[model.PoolName]*pool{},
		teams: map[model.TeamName]*team{}, domains: map[string]int{}, spread: map[string]*spread{}, preempted: map[model.JobID][]preemption{},
	}
	for _, i := range s.Instances.All() {
		if !schedulable(i) {
			continue
		}
		load, _ := s.JobIndex.Loads.Get(i.ID)
		dataCenter := i.Domain.Region + "/" + i.Domain.DataCenter
		w := &worker{
			Instance: i, free: i.Capacity.Sub(load.Reserved),
			dataCenter: p.domainNumber(dataCenter), rack: p.domainNumber(dataCenter + "/" + i.Domain.Rack),
		}
		p.workers[i.ID] = w
		pool := p.pool(i.Pool)
		pool.workers = append(pool.workers, w)
		pool.milliCPU += i.Capacity.MilliCPU
	}
	return p
}

// domainNumber returns the number of a data centre or rack. Numbers are assigned in
// the order of the first use.
func (p *planner) domainNumber(name string) int {
	n, ok := p.domains[name]
	if !ok {
		n = len(p.domains)
		p.domains[name] = n
	}
	return n
}

func (p *planner) pool(name model.PoolName) *pool {
	if p.pools[name] == nil {
		p.pools[name] = &pool{}
	}
	return p.pools[name]
}

func (p *planner) team(name model.TeamName) *team {
	if t := p.teams[name]; t != nil {
		return t
	}
	load, _ := p.s.JobIndex.Teams.Get(name)
	t := &team{used: load.Reserved}
	t.quota, t.limited = quota(&p.s, name)
	p.teams[name] = t
	return t
}

func (p *planner) spreadOf(class string) *spread {
	if p.spread[class] == nil {
		p.spread[class] = &spread{dataCenters: make([]int, len(p.domains)), racks: make([]int, len(p.domains))}
	}
	return p.spread[class]
}

func (p *planner) propose(c model.Command) { p.commands = append(p.commands, c) }

// dueAt makes Reconcile ask for its next call no later than at t.
func (p *planner) dueAt(t model.Timestamp) {
	if p.next == 0 || t < p.next {
		p.next = t
	}
}

// scanActive proposes to expire leases that were not renewed, and collects the data
// on active jobs that placement needs.
func (p *planner) scanActive() {
	for _, j := range p.s.JobIndex.Active.All() {
		if p.now >= j.Lease.ExpiresAt {
			p.propose(model.ExpireLease{ID: j.ID, Token: j.Lease.Token})
		} else {
			p.dueAt(j.Lease.ExpiresAt)
		}
		w := p.workers[j.Lease.Worker]
		if w == nil {
			continue
		}
		w.jobs = append(w.jobs, j)
		sp := p.spreadOf(j.ClassKey())
		sp.dataCenters[w.dataCenter]++
		sp.racks[w.rack]++
		if j.Borrowed || p.isStraggler(j) {
			p.pool(w.Pool).preemptible = true
		}
		if j.Action != model.ActionNone {
			p.scanPreempted(w, j)
		}
	}
}

// scanPreempted handles an active job j that was requested to make room for a waiting
// job. It reserves the worker for that job if that is still queued. Otherwise, if j is
// throttled and the worker has enough free processors, it proposes to end the
// throttling.
func (p *planner) scanPreempted(w *worker, j model.Job) {
	if waiting, ok := p.s.Jobs.Get(j.YieldsTo); ok && waiting.Phase == model.JobQueued {
		p.preempted[j.YieldsTo] = append(p.preempted[j.YieldsTo], preemption{worker: w, job: j})
		w.reservedFor = j.YieldsTo
		return
	}
	if j.Action != model.ActionThrottle {
		return
	}
	if more := p.s.JobSize(j, w.Instance).MilliCPU - j.Reserved.MilliCPU; more <= w.free.MilliCPU {
		w.free.MilliCPU -= max(more, 0)
		p.propose(model.ControlJob{ID: j.ID, Token: j.Lease.Token, Action: model.ActionNone, Reason: "the worker has room again"})
	}
}

// findShortRuns finds the run time of the shortest class of each pool, and then the
// processors that long jobs of the pool have reserved.
func (p *planner) findShortRuns(heads []*head) {
	consider := func(pool *pool, j model.Job) {
		if e, ok := p.s.ClassEstimate(j); ok && e.Run > 0 {
			if pool.shortRun == 0 || e.Run < pool.shortRun {
				pool.shortRun = e.Run
			}
		}
	}
	for _, h := range heads {
		consider(p.pool(h.job.Pool), h.job)
	}
	for _, pool := range p.pools {
		for _, w := range pool.workers {
			for _, j := range w.jobs {
				consider(pool, j)
			}
		}
		for _, w := range pool.workers {
			for _, j := range w.jobs {
				if p.long(pool, j) {
					pool.longCPU += j.Reserved.MilliCPU
				}
			}
		}
	}
}

// long reports whether the job is expected to run at least longFactor times as long
// as the shortest class of its pool. Urgent jobs and unknown classes are not long.
func (p *planner) long(pool *pool, j model.Job) bool {
	if pool.shortRun == 0 || j.Urgent {
		return false
	}
	e, ok := p.s.ClassEstimate(j)
	return ok && e.Run >= longFactor*pool.shortRun
}
