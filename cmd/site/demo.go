package site

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/node/wait"
	"lacewingturn.example/operator/client"
)

// stepTimeout bounds each command and each wait of the demo; a longer one counts as
// failed.
const stepTimeout = 20 * time.Second

// DemoSample is the name of the sample answers that the demo generates its
// configuration from.
const DemoSample = "skoflikk"

// Demo runs a site through a recorded workload, changes, maintenance and the loss of
// the leader, and collects the outcomes. RunDemo creates it.
type Demo struct {
	site        *Site
	out         io.Writer
	outcomes    Outcomes
	operator    *client.Client
	config      model.Config
	caller      *caller
	workers     []*Worker
	failoverJob model.JobID // runs while the leader is killed
}

// RunDemo runs the demo in a temporary folder. It prints progress and the table of
// outcomes to out and writes the logs of all processes to log. An error ends the demo
// early and is returned together with the outcomes checked before; an outcome that does
// not hold is not an error.
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
		{"kill the leader while requests run", d.killLeader},
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

// Operator returns a client of the operator interfaces of the control replicas. It
// fails if the client settings are wrong.
func (s *Site) Operator() (*client.Client, error) {
	return client.New(client.Settings{Addresses: s.OperatorAddresses(), Actor: "demo"})
}

// submit sends an operator command and returns its result within stepTimeout.
func (d *Demo) submit(ctx context.Context, id model.RequestID, c model.Command) result.Result {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	return d.operator.Submit(ctx, id, c)
}

// eventually polls the condition every 20 ms. It reports false if the condition does
// not hold within stepTimeout.
func eventually(ctx context.Context, condition func() bool) bool {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	for !condition() {
		if wait.Sleep(ctx, 20*time.Millisecond) != nil {
			return condition()
		}
	}
	return true
}

// minSteadyCalls is the smallest number of requests of a steady load. The load continues
// at least until the action that runs under it has ended.
const minSteadyCalls = 150

// underLoad runs action under a steady load, which starts 300 ms earlier, and returns
// the replies of the load and the error of action.
func (d *Demo) underLoad(ctx context.Context, action func() error) ([]reply, error) {
	services := d.config.Services
	ended := make(chan struct{})
	done := make(chan []reply, 1)
	go func() {
		done <- d.caller.playSteady(ctx, ended, minSteadyCalls, func(i int) call {
			return call{
				ID: fmt.Sprintf("s%d", i), Caller: "counter-1", Service: string(services[i%len(services)].Name),
				Path: fmt.Sprintf("/work/s%d", i), RunMs: 50,
			}
		})
	}()
	_ = wait.Sleep(ctx, 300*time.Millisecond)
	err := action()
	close(ended)
	return <-done, err
}

func (d *Demo) state() model.State { return d.site.Controls[0].Replica.View().State }
