package job

import (
	"time"

	"lacewingturn.example/core/model"
)

// Bounds of one pass of Reconcile, so that it does not hold up the loop. What
// is left over is proposed by the next pass.
const (
	maxPlacements = 512
	maxGroups     = 16384
	maxTeamGroups = 64 // of one team in one pool
	maxRooms      = 256
	// passGap leaves time to commit what a full pass proposed.
	passGap = 20 * time.Millisecond
	// repeatAfter is when proposals that had no effect are made again.
	repeatAfter = 500 * time.Millisecond
)

// Long work may take this part of the processors of a pool that has short work
// as well. Work is long if its typical run is longFactor times that of the
// shortest class of the pool.
const (
	longFactor = 8
	longNum    = 3
	longDen    = 4
)

// Reconcile proposes what to do about jobs: leases to end, jobs to place, and
// jobs to checkpoint, throttle or stop to make room. It may be called at any
// time; Apply decides. The second result is when to call it again even if
// nothing changes, 0 for never.
func Reconcile(s model.State, now model.Timestamp) ([]model.Command, model.Timestamp) {
	p := newPlanner(s, now)
	p.scanActive()
	heads := p.queueHeads()
	p.findShortRuns(heads)
	borrowers := p.placeAll(heads, false)
	p.placeAll(borrowers, true)
	if len(p.commands) > 0 {
		p.dueAt(now.Add(repeatAfter))
	}
	return p.commands, p.next
}

// planner is the working state of one pass.
type planner struct {
	s        model.State
	now      model.Timestamp
	commands []model.Command
	next     model.Timestamp
	workers  map[model.InstanceID]*worker
	pools    map[model.PoolName]*pool
	teams    map[model.TeamName]*team
	places   map[string]int          // numbers of data centres and racks
	spread   map[string]*spread      // by class
	yielding map[model.JobID][]yield // by the job that room is made for
	placed   int
	rooms    int
}

// worker is an instance that takes jobs.
type worker struct {
	model.Instance
	free    model.Resources
	jobs    []model.Job
	heldFor model.JobID // room is being made here for this job; empty if none
	center  int         // number of the data centre
	rack    int         // number of the rack
}

// pool sums up the workers of a pool.
type pool struct {
	workers  []*worker
	milliCPU int64
	longCPU  int64         // reserved by long work
	shortRun time.Duration // of the shortest class with queued or active jobs; 0 if unknown
	// full lists sizes that fit nowhere. Placement only takes capacity away, so
	// nothing larger fits for the rest of the pass.
	full []model.Resources
	// givesWay is set if the pool has borrowed jobs or stragglers.
	givesWay bool
}

type team struct {
	limited bool
	quota   model.Resources
	used    model.Resources
}

// spread counts the active jobs of one class in each data centre and rack.
type spread struct{ centers, racks []int }

// yield is a job that was asked to make room.
type yield struct {
	worker *worker
	job    model.Job
}

func newPlanner(s model.State, now model.Timestamp) *planner {
	p := &planner{
		s: s, now: now, workers: map[model.InstanceID]*worker{}, pools: map[model.PoolName]*pool{},
		teams: map[model.TeamName]*team{}, places: map[string]int{}, spread: map[string]*spread{}, yielding: map[model.JobID][]yield{},
	}
	for _, i := range s.Instances.All() {
		if !takesJobs(i) {
			continue
		}
		load, _ := s.JobIndex.Loads.Get(i.ID)
		center := i.Domain.Region + "/" + i.Domain.DataCenter
		w := &worker{
			Instance: i, free: i.Capacity.Sub(load.Reserved),
			center: p.number(center), rack: p.number(center + "/" + i.Domain.Rack),
		}
		p.workers[i.ID] = w
		of := p.pool(i.Pool)
		of.workers = append(of.workers, w)
		of.milliCPU += i.Capacity.MilliCPU
	}
	return p
}

// number numbers the names of places in the order in which they are seen.
func (p *planner) number(place string) int {
	n, ok := p.places[place]
	if !ok {
		n = len(p.places)
		p.places[place] = n
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
		p.spread[class] = &spread{centers: make([]int, len(p.places)), racks: make([]int, len(p.places))}
	}
	return p.spread[class]
}

func (p *planner) propose(c model.Command) { p.commands = append(p.commands, c) }

func (p *planner) dueAt(t model.Timestamp) {
	if p.next == 0 || t < p.next {
		p.next = t
	}
}

// scanActive ends leases that were not renewed and collects what placement
// needs to know of the active jobs.
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
		sp.centers[w.center]++
		sp.racks[w.rack]++
		if j.Borrowed || p.straggles(j) {
			p.pool(w.Pool).givesWay = true
		}
		if j.Action != model.ActionNone {
			p.scanYielding(w, j)
		}
	}
}

// scanYielding keeps the worker for the job that room is made for while that
// job waits, and ends a throttling that is no longer needed.
func (p *planner) scanYielding(w *worker, j model.Job) {
	if waiting, ok := p.s.Jobs.Get(j.YieldsTo); ok && waiting.Phase == model.JobQueued {
		p.yielding[j.YieldsTo] = append(p.yielding[j.YieldsTo], yield{worker: w, job: j})
		w.heldFor = j.YieldsTo
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

// findShortRuns finds the shortest class of each pool and what its long work
// has reserved.
func (p *planner) findShortRuns(heads []*head) {
	see := func(pool *pool, j model.Job) {
		if e, ok := p.s.LearnedClass(j); ok && e.Run > 0 {
			if pool.shortRun == 0 || e.Run < pool.shortRun {
				pool.shortRun = e.Run
			}
		}
	}
	for _, h := range heads {
		see(p.pool(h.job.Pool), h.job)
	}
	for _, pool := range p.pools {
		for _, w := range pool.workers {
			for _, j := range w.jobs {
				see(pool, j)
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

// long reports whether the job is expected to run many times longer than the
// short work of its pool.
func (p *planner) long(pool *pool, j model.Job) bool {
	if pool.shortRun == 0 || j.Urgent {
		return false
	}
	e, ok := p.s.LearnedClass(j)
	return ok && e.Run >= longFactor*pool.shortRun
}
