// Package capacity builds control states of a given size and measures what each
// role uses for them. The figures in docs/CAPACITY.md come from its benchmarks.
package capacity

import (
	"fmt"
	"time"

	"lacewingturn.example/core/command"
	"lacewingturn.example/core/model"
)

// Size is the number of objects of each kind at a site.
type Size struct {
	Workers  int
	Pools    int
	Teams    int
	Entries  int
	Services int
	Claims   int
	Jobs     int
}

// CurrentSize and TargetSize are the current size and the target size in docs/design.md.
// Both have 20 claims and 2 jobs for each worker, so that the cost per worker can be
// computed from the two.
var (
	CurrentSize = Size{Workers: 50, Pools: 5, Teams: 4, Entries: 12, Services: 5, Claims: 1000, Jobs: 100}
	TargetSize  = Size{Workers: 720, Pools: 29, Teams: 35, Entries: 12, Services: 29, Claims: 14400, Jobs: 1440}
)

// rackSize is the number of workers in a rack.
const rackSize = 4

// Config returns a configuration with the pools, services, teams and workers of the
// size.
func (s Size) Config() model.Config {
	c := model.Config{
		Site:    "capacity",
		Weights: model.Weights{ShortWait: 0.4, BufferCost: 0.3, RollOut: 0.2, Moves: 0.1},
		Limits:  model.Limits{SlotsPerTarget: 8, ConnectionsPerTarget: 64, RetryShare: 0.1, KeyRetention: 15 * time.Minute, MaxClaims: 200_000},
		Waves:   model.WavePolicy{Every: 14 * 24 * time.Hour, Soak: time.Minute, RebootTimeout: 10 * time.Minute, DrainTimeout: 10 * time.Minute, MaxStep: 4},
	}
	for i := range s.Pools {
		c.Pools = append(c.Pools, model.Pool{Name: poolName(i), Budget: model.Budget{MaxUnavailable: 2}})
	}
	for i := range s.Services {
		c.Services = append(c.Services, model.Service{Name: serviceName(i), Pool: poolName(i % s.Pools), Timeout: 10 * time.Second, QueueLimit: 200})
	}
	for i := range s.Teams {
		c.Teams = append(c.Teams, model.Team{Name: model.TeamName(fmt.Sprintf("team-%02d", i)), Quota: model.Resources{MilliCPU: 64_000, MemoryMB: 256_000, Accelerators: 32}})
	}
	for i := range s.Workers {
		c.Instances = append(c.Instances, s.instance(i))
	}
	return c
}

func (s Size) instance(i int) model.InstanceSpec {
	center := i % 7
	return model.InstanceSpec{
		ID: instanceID(i), Pool: poolName(i % s.Pools),
		Domain:   model.Domain{Region: fmt.Sprintf("region-%d", center%3), DataCenter: fmt.Sprintf("dc-%d", center), Rack: fmt.Sprintf("rack-%03d", i/rackSize)},
		Capacity: model.Resources{MilliCPU: 16_000, MemoryMB: 64_000, Accelerators: 1},
	}
}

func poolName(i int) model.PoolName       { return model.PoolName(fmt.Sprintf("pool-%02d", i)) }
func serviceName(i int) model.ServiceName { return model.ServiceName(fmt.Sprintf("service-%02d", i)) }
func instanceID(i int) model.InstanceID   { return model.InstanceID(fmt.Sprintf("worker-%03d", i)) }
func entryID(i int) model.EntryID         { return model.EntryID(fmt.Sprintf("entry-%02d", i)) }

// start is the time of the first command, in Unix milliseconds. All commands of a
// Builder have it.
const start = model.Timestamp(1_800_000_000_000)

// RequestID returns a UUIDv7 for the time t that is unique for each n.
func RequestID(t model.Timestamp, n int) model.RequestID {
	ms := fmt.Sprintf("%012x", int64(t))
	return model.RequestID(fmt.Sprintf("%s-%s-7%03x-8%03x-%012x", ms[:8], ms[8:], n>>24&0xfff, n>>12&0xfff, n))
}

// Builder builds a control state by applying commands in order.
type Builder struct{ State model.State }

// Apply applies one command to the state. It panics if the command is refused.
func (b *Builder) Apply(c model.Command) { b.apply(model.Envelope{Time: start, Command: c}) }

func (b *Builder) apply(env model.Envelope) {
	next, r := command.Apply(b.State, b.State.Index+1, 1, env)
	if !r.Code.OK() {
		panic(fmt.Sprintf("capacity: %T: %v", env.Command, r.Error()))
	}
	b.State = next
}

// Build returns a builder whose state has the size. All claims are settled; no
// job is placed yet.
func (s Size) Build() *Builder {
	b := &Builder{}
	b.apply(model.Envelope{RequestID: RequestID(start, 0), Time: start, Actor: "operator", Command: model.AcceptConfig{Config: s.Config()}})
	for i := range s.Entries {
		b.Apply(model.JoinEntry{ID: entryID(i), Address: fmt.Sprintf("127.0.0.%d:7400", i+1)})
	}
	for i := range s.Workers {
		b.Apply(model.AnnounceTarget{Target: target(i, s.Services, 1)})
	}
	for i := range s.Claims {
		b.claim(i)
	}
	for i := range s.Jobs {
		b.Apply(model.SubmitJob{Job: s.job(i)})
	}
	return b
}

func target(i, services int, generation uint64) model.Target {
	return model.Target{
		ID: model.TargetID(fmt.Sprintf("target-%03d", i)), Instance: instanceID(i), Service: serviceName(i % services),
		Address: fmt.Sprintf("127.1.%d.%d:8080", i/250, i%250), Slots: 8, Connections: 64, Generation: generation, Phase: model.TargetReady,
	}
}

func (b *Builder) claim(i int) {
	entry, _ := b.State.Entries.Get(entryID(i % b.State.Entries.Len()))
	key := RequestID(start, i+1)
	b.Apply(model.ClaimRequest{Key: key, Caller: "counter-1", Fingerprint: uint64(i), Entry: entry.ID, EntryEpoch: entry.Epoch, Attempt: "a"})
	b.Apply(model.SettleClaim{Key: key, Caller: "counter-1", Attempt: "a", Phase: model.ClaimDone, Status: 200, ContentType: "application/json", Body: make([]byte, 200)})
}

func (s Size) job(i int) model.Job {
	return model.Job{
		ID: model.JobID(fmt.Sprintf("job-%06d", i)), Team: model.TeamName(fmt.Sprintf("team-%02d", i%s.Teams)), Pool: poolName(i % s.Pools),
		Declared: model.Resources{MilliCPU: 500, MemoryMB: 1000}, DeclaredRun: time.Minute, Class: "batch",
	}
}
