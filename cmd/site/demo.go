package site

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"lacewingturn.example/api/codec"
	"lacewingturn.example/cmd/internal/instance"
	"lacewingturn.example/core/command/dispatch"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/operator/answers"
	"lacewingturn.example/operator/client"
	"lacewingturn.example/operator/replay"
	"lacewingturn.example/replica/record"
)

// stepTimeout bounds one step of the demo; a step that takes longer has failed.
const stepTimeout = 20 * time.Second

// DemoSample is the sample whose answers the demo uses.
const DemoSample = "skoflikk"

// Demo runs the site through a recorded workload and its faults.
type Demo struct {
	site     *Site
	out      io.Writer
	outcomes Outcomes
	operator *client.Client
	config   model.Config
	caller   *caller
	workers  []*Worker
	lasting  model.JobID // runs while the leader is lost
}

// RunDemo runs the demo in a temporary folder; logs go to log.
func RunDemo(ctx context.Context, out, log io.Writer) (Outcomes, error) {
	folder, remove, err := TemporaryFolder()
	if err != nil {
		return nil, err
	}
	defer remove()
	began := time.Now()
	config, err := sampleConfig(DemoSample, unchanged)
	if err != nil {
		return nil, err
	}
	s, err := New(ctx, folder, config.Instances, log)
	if err != nil {
		return nil, err
	}
	d := &Demo{site: s, out: out, config: config}
	if d.operator, err = s.Operator(); err != nil {
		return nil, err
	}
	d.caller = &caller{urls: s.EntryURLs(), client: &http.Client{Timeout: stepTimeout}, newKey: func() string { return string(client.NewRequestID()) }}
	for _, step := range []struct {
		title string
		run   func(context.Context) error
	}{
		{"accept a configuration generated from the sample answers", d.acceptSample},
		{"start stand-in targets that announce themselves", d.startTargets},
		{"play the recorded workload through all entry instances", d.playWorkload},
		{"revise one answer while requests run", d.reviseAnswer},
		{"run jobs on stand-in workers", d.runJobs},
		{"drain an instance while requests run", d.drainInstance},
		{"maintain instances of a pool in a wave while requests run", d.runWave},
		{"lose the leader", d.loseLeader},
		{"stop everything gracefully", d.stopAll},
		{"replay the recorded control inputs and traffic", d.verifyRecords},
	} {
		fmt.Fprintf(out, "%6.1fs  %s\n", time.Since(began).Seconds(), step.title)
		if err := step.run(ctx); err != nil {
			return d.outcomes, trace.Wrap(err, "%s", step.title)
		}
	}
	fmt.Fprintf(out, "%6.1fs  done\n\n", time.Since(began).Seconds())
	d.outcomes.Write(out)
	return d.outcomes, nil
}

// Operator returns a client of the site's operator interface.
func (s *Site) Operator() (*client.Client, error) {
	return client.New(client.Settings{Addresses: s.OperatorAddresses(), Actor: "demo"})
}

// sampleConfig generates the configuration of the sample after a revision of its text.
func sampleConfig(sample string, revise func(string) string) (model.Config, error) {
	data, err := answers.Sample(sample)
	if err != nil {
		return model.Config{}, trace.Wrap(err)
	}
	a, problems := answers.Read([]byte(revise(string(data))))
	if len(problems) > 0 {
		return model.Config{}, trace.BadParameter("sample %s: %v", sample, problems)
	}
	return answers.Generate(a), nil
}

func unchanged(s string) string { return s }

// submit commits one operator command.
func (d *Demo) submit(ctx context.Context, id model.RequestID, c model.Command) result.Result {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	return d.operator.Submit(ctx, id, c)
}

func (d *Demo) acceptSample(ctx context.Context) error {
	config := d.config
	r := d.submit(ctx, client.NewRequestID(), model.AcceptConfig{Base: 0, Config: config})
	held := d.inForce(ctx, model.Revision(r.Revision))
	d.outcomes.add(r.Code == result.Accepted && held, "the generated configuration is accepted and in force on every entry instance",
		"%s, revision %d, in force on %d of %d", r.Code, r.Revision, d.countInForce(model.Revision(r.Revision)), len(d.site.Entries))
	loser := d.submit(ctx, client.NewRequestID(), model.AcceptConfig{Base: 0, Config: config})
	d.outcomes.add(loser.Code == result.Conflicting, "a second operator with the same revision number loses and learns of the winner", "%s", loser.Error())
	return nil
}

// inForce waits until every entry instance has the revision.
func (d *Demo) inForce(ctx context.Context, revision model.Revision) bool {
	return eventually(ctx, func() bool { return d.countInForce(revision) == len(d.site.Entries) })
}

func (d *Demo) countInForce(revision model.Revision) int {
	n := 0
	for _, e := range d.site.Entries {
		if v := e.Entry.Source.View(); v != nil && v.Traffic.Revision >= revision {
			n++
		}
	}
	return n
}

// eventually checks at an easy pace until the condition holds or a step's time is over.
func eventually(ctx context.Context, condition func() bool) bool {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	for !condition() {
		if pause(ctx, 20*time.Millisecond) != nil {
			return condition()
		}
	}
	return true
}

func (d *Demo) startTargets(ctx context.Context) error {
	ready := eventually(ctx, func() bool { return d.readyEntries(ctx) == len(d.site.Entries) })
	d.outcomes.add(ready, "every entry instance reports ready", "%d of %d", d.readyEntries(ctx), len(d.site.Entries))
	if err := d.site.StartTargets(ctx, d.config); err != nil {
		return err
	}
	known := func() int {
		least := len(d.site.Targets)
		for _, e := range d.site.Entries {
			least = min(least, e.Entry.Source.View().Traffic.Targets.Len())
		}
		return least
	}
	all := eventually(ctx, func() bool { return known() == len(d.site.Targets) })
	d.outcomes.add(all, "every target that announced itself to one entry instance is known to all", "%d of %d", known(), len(d.site.Targets))
	return nil
}

func (d *Demo) readyEntries(ctx context.Context) int {
	n := 0
	for _, url := range d.site.EntryURLs() {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/readyz", nil)
		if err != nil {
			continue
		}
		resp, err := d.caller.client.Do(req)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			n++
		}
	}
	return n
}

func (d *Demo) playWorkload(ctx context.Context) error {
	calls, err := readWorkload()
	if err != nil {
		return err
	}
	replies := d.caller.play(ctx, calls)
	whole, first := countWhole(replies)
	d.outcomes.add(whole == len(replies), "every caller gets the whole answer to its own request", "%d of %d%s", whole, len(replies), first)
	once, resent, recorded := 0, 0, 0
	for _, r := range replies {
		if r.key == "" {
			continue
		}
		once++
		if r.resent != nil {
			resent++
			if r.resent.outcome == result.OutcomeDone.String() {
				recorded++
			}
		}
	}
	runs, most := d.executions(replies)
	d.outcomes.add(runs == once && most == 1, "each non-idempotent request runs exactly once, also when it is resent to another entry instance",
		"%d requests, %d executions, at most %d each", once, runs, most)
	d.outcomes.add(recorded == resent, "each resend gets the recorded outcome", "%d of %d", recorded, resent)
	peak := 0
	for _, t := range d.site.Targets {
		peak = max(peak, t.Peak())
	}
	d.outcomes.add(peak <= 8, "no target runs more than its 8 slots", "peak %d", peak)
	return nil
}

// countWhole counts whole answers and describes the first other one.
func countWhole(replies []reply) (n int, first string) {
	for _, r := range replies {
		if r.whole {
			n++
		} else if first == "" {
			first = fmt.Sprintf("; %s: status %d, result %d, %v", r.call.ID, r.status, r.code, r.err)
		}
	}
	return n, first
}

// executions counts how often targets ran the keys of the replies.
func (d *Demo) executions(replies []reply) (total, most int) {
	count := map[string]int{}
	for _, t := range d.site.Targets {
		for key, n := range t.Runs() {
			count[key] += n
		}
	}
	for _, r := range replies {
		total += count[r.key]
		most = max(most, count[r.key])
	}
	return total, most
}

// leastCalls is the number of requests of a steady load; it goes on for as long
// as the action that it accompanies takes.
const leastCalls = 150

// during plays a steady load while action runs and returns its replies.
func (d *Demo) during(ctx context.Context, action func() error) ([]reply, error) {
	services := d.config.Services
	ended := make(chan struct{})
	done := make(chan []reply, 1)
	go func() {
		done <- d.caller.playUntil(ctx, ended, leastCalls, func(i int) call {
			return call{
				ID: fmt.Sprintf("s%d", i), Caller: "counter-1", Service: string(services[i%len(services)].Name),
				Path: fmt.Sprintf("/work/s%d", i), RunMs: 50,
			}
		})
	}()
	_ = pause(ctx, 300*time.Millisecond)
	err := action()
	close(ended)
	return <-done, err
}

func (d *Demo) reviseAnswer(ctx context.Context) error {
	revised, err := sampleConfig(DemoSample, func(s string) string { return strings.Replace(s, "soak: 60s", "soak: 1s", 1) })
	if err != nil {
		return err
	}
	var r result.Result
	replies, err := d.during(ctx, func() error {
		r = d.submit(ctx, client.NewRequestID(), model.AcceptConfig{Base: 1, Config: revised})
		return nil
	})
	if err != nil {
		return err
	}
	d.config = revised
	held := d.inForce(ctx, 2)
	d.outcomes.add(r.Code == result.Accepted && held, "the revised answer is in force on every entry instance", "%s, revision %d, in force on %d of %d",
		r.Code, r.Revision, d.countInForce(2), len(d.site.Entries))
	whole, first := countWhole(replies)
	d.outcomes.add(whole == len(replies), "no request fails while the configuration changes", "%d of %d whole%s", whole, len(replies), first)
	return nil
}

// drainInstance drains the instance of the first target and checks that it
// gets no new work, while requests go on.
func (d *Demo) drainInstance(ctx context.Context) error {
	leaving := d.site.Targets[0]
	var r result.Result
	var served int
	replies, err := d.during(ctx, func() error {
		r = d.submit(ctx, client.NewRequestID(), model.DrainInstance{Instance: leaving.Instance})
		if err := leaving.Leave(ctx); err != nil {
			return err
		}
		served = leaving.Served()
		return nil
	})
	if err != nil {
		return err
	}
	whole, first := countWhole(replies)
	d.outcomes.add(r.Code == result.Accepted && whole == len(replies), "a drained instance finishes what is in flight and no request is cut",
		"%s, %d of %d whole%s", r.Code, whole, len(replies), first)
	after := d.caller.play(ctx, []call{{ID: "after", Caller: "counter-1", Service: string(leaving.Service), Path: "/work/after", RunMs: 1}})
	d.outcomes.add(after[0].whole && after[0].target != string(leaving.ID) && leaving.Served() == served,
		"a target that has left gets no new work", "served by %s", after[0].target)
	return d.breakBudget(ctx, leaving)
}

// breakBudget drains further instances of the pool until the budget refuses.
func (d *Demo) breakBudget(ctx context.Context, drained *Target) error {
	pool := d.poolOf(drained.Instance)
	var last result.Result
	taken := 1
	for _, i := range d.config.Instances {
		if i.Pool != pool || i.ID == drained.Instance {
			continue
		}
		r := d.submit(ctx, client.NewRequestID(), model.DrainInstance{Instance: i.ID})
		if last = r; r.Code.OK() {
			taken++
		}
	}
	refused := last.Code == result.BudgetExceeded || last.Code == result.DomainLimit
	d.outcomes.add(refused, "draining stops at the availability budget of the pool", "%d drained, then %s", taken, last.Error())
	return nil
}

func (d *Demo) poolOf(id model.InstanceID) model.PoolName {
	i := slices.IndexFunc(d.config.Instances, func(i model.InstanceSpec) bool { return i.ID == id })
	return d.config.Instances[i].Pool
}

// wavePool is the pool that the demo maintains; targets run on two of its instances.
const wavePool = model.PoolName("quotes")

// runWave starts a maintenance wave, lets it finish its first instances and
// cancels it. Requests go on all the time.
func (d *Demo) runWave(ctx context.Context) error {
	const id = model.WaveID("demo")
	var started, cancelled result.Result
	least := 0
	replies, err := d.during(ctx, func() error {
		if started = d.submit(ctx, client.NewRequestID(), model.StartWave{ID: id, Pools: []model.PoolName{wavePool}}); !started.Code.OK() {
			return nil
		}
		least = d.watchWave(ctx, func(w model.Wave) bool { return len(w.Done) >= 2 })
		cancelled = d.submit(ctx, client.NewRequestID(), model.SetWavePhase{ID: id, Phase: model.WaveCancelled})
		least = min(least, d.watchWave(ctx, func(w model.Wave) bool { return len(w.Running) == 0 }))
		return nil
	})
	if err != nil {
		return err
	}
	w, _ := d.state().Waves.Get(id)
	d.outcomes.add(started.Code.OK() && cancelled.Code.OK() && len(w.Done) >= 2, "a maintenance wave drains, reboots and returns instances until it is cancelled",
		"%d of 8 done, %d skipped, wave %s", len(w.Done), len(w.Passed), w.Phase)
	d.outcomes.add(least >= 6, "the pool keeps its availability budget (6 of 8) during the wave", "at least %d available", least)
	whole, first := countWhole(replies)
	d.outcomes.add(whole == len(replies), "maintenance cuts no request", "%d of %d whole%s", whole, len(replies), first)
	return nil
}

func (d *Demo) state() model.State { return d.site.Controls[0].Replica.View().State }

// watchWave waits for a condition of the demo's wave and returns the smallest
// number of available instances seen in its pool.
func (d *Demo) watchWave(ctx context.Context, until func(model.Wave) bool) int {
	least := len(d.config.Instances)
	eventually(ctx, func() bool {
		s := d.state()
		available := 0
		for _, i := range s.Instances.All() {
			if i.Pool == wavePool && i.Available() {
				available++
			}
		}
		least = min(least, available)
		w, ok := s.Waves.Get("demo")
		return ok && until(w)
	})
	return least
}

// loseLeader ends the leader without notice and goes on with the other replicas.
func (d *Demo) loseLeader(ctx context.Context) error {
	id := client.NewRequestID()
	runs := d.runsOf(d.lasting)
	before := d.submit(ctx, id, model.AcceptConfig{Base: 2, Config: d.config})
	leader := d.site.Leader()
	if leader == nil {
		return trace.NotFound("no control replica leads")
	}
	replies, err := d.during(ctx, func() error {
		leader.Kill(ctx)
		return nil
	})
	if err != nil {
		return err
	}
	d.site.Controls = slices.DeleteFunc(d.site.Controls, func(p *instance.Process) bool { return p == leader })
	whole, first := countWhole(replies)
	d.outcomes.add(whole == len(replies), "requests go on while the leader is lost", "%d of %d whole%s", whole, len(replies), first)
	again := d.submit(ctx, id, model.AcceptConfig{Base: 2, Config: d.config})
	d.outcomes.add(again.Code == before.Code && again.Revision == before.Revision, "a resent command gets its first result from the new leader",
		"first %s revision %d, again %s revision %d", before.Code, before.Revision, again.Code, again.Revision)
	r := d.submit(ctx, client.NewRequestID(), model.AcceptConfig{Base: 3, Config: d.config})
	held := d.inForce(ctx, 4)
	d.outcomes.add(r.Code == result.Accepted && held, "a change accepted by the new leader is in force on every entry instance",
		"%s, revision %d, in force on %d of %d", r.Code, r.Revision, d.countInForce(4), len(d.site.Entries))
	d.endLasting(ctx, runs)
	return nil
}

func (d *Demo) stopAll(ctx context.Context) error {
	d.stopWorkers()
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	d.site.Targets = d.site.Targets[1:]
	err := d.site.Stop(ctx)
	d.outcomes.add(err == nil, "every process stops gracefully", "%v", err)
	return nil
}

// replayTraffic replays the traffic that the entry instances recorded through
// the default queue policy.
func (d *Demo) replayTraffic() (requests int, err error) {
	for _, e := range d.site.Entries {
		f, err := os.Open(filepath.Join(d.site.Folder, e.Settings().Name+"-traffic.jsonl"))
		if err != nil {
			return requests, trace.ConvertSystemError(err)
		}
		recorded, err := replay.Read(f)
		_ = f.Close()
		if err != nil {
			return requests, trace.Wrap(err)
		}
		report, err := replay.Run(recorded, replay.Options{Policy: dispatch.Default})
		if err != nil {
			return requests, trace.Wrap(err)
		}
		requests += report.Completed
	}
	return requests, nil
}

// verifyRecords replays what each remaining replica recorded and compares the
// state digests. Replicas that applied the same index must agree as well.
func (d *Demo) verifyRecords(context.Context) error {
	digests := map[model.Index]string{}
	commands, differ := 0, 0
	for _, c := range d.site.Controls {
		f, err := os.Open(filepath.Join(d.site.Folder, c.Settings().Name+"-control.jsonl"))
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		outcome, err := record.Replay(f)
		_ = f.Close()
		if err != nil {
			return trace.Wrap(err)
		}
		state := c.Replica.View().State
		digest, err := codec.Digest(state)
		if err != nil {
			return trace.Wrap(err)
		}
		if other, seen := digests[state.Index]; outcome.Digest != digest || seen && other != digest {
			differ++
		}
		digests[state.Index] = digest
		commands += outcome.Commands
	}
	d.outcomes.add(differ == 0, "replaying the recorded control inputs gives the state digest of every replica", "%d commands, %d digests differ", commands, differ)
	requests, err := d.replayTraffic()
	if err != nil {
		return err
	}
	d.outcomes.add(requests > 0, "the recorded traffic replays through the production queue policy", "%d requests", requests)
	return nil
}
