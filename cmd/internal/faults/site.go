package faults

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"

	replicav1 "lacewingturn.example/api/gen/lacewingturn/replica/v1"
	"lacewingturn.example/api/gen/lacewingturn/replica/v1/replicav1connect"
	"lacewingturn.example/cmd/internal/capacity"
	"lacewingturn.example/cmd/site"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/node/server"
	"lacewingturn.example/operator/client"
)

const (
	// waitTimeout is how long a test waits for a condition before it fails.
	waitTimeout = 30 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 10 * time.Millisecond
	// queryTimeout limits one query to a process, which may be frozen.
	queryTimeout = 500 * time.Millisecond
	// serviceTimeout is the timeout of the service: how long a caller can wait for an
	// answer.
	serviceTimeout = 5 * time.Second
	// replicaCount is the number of control replicas, one in each data centre.
	replicaCount = 3
)

// siteSlots limits the number of sites that run at the same time, so that there are
// fewer than 40 processes.
var siteSlots = make(chan struct{}, 5)

// Site is a running site with three control replicas, entry instances and targets.
type Site struct {
	// Controls are the processes of the control replicas.
	Controls []*Process
	// Entries are the processes of the entry instances.
	Entries []*Process
	// ReplicaRelays are the relays in front of the internal addresses of Controls.
	ReplicaRelays []*Relay
	// Targets are the targets started by AddTarget. They run in the test process.
	Targets []*site.Target
	// TargetRelays are the relays in front of Targets.
	TargetRelays []*Relay
	// Config is the configuration that Start submitted.
	Config model.Config

	t    testing.TB
	http *http.Client
	pids PIDs
}

// Start starts a site with the given number of entry instances, submits its first
// configuration and waits until the entry instances are ready. The site stops when
// the test ends. Start blocks while five sites run.
func Start(t testing.TB, entries int) *Site {
	t.Helper()
	siteSlots <- struct{}{}
	s := &Site{t: t, http: server.NewClient(server.Dialer(nil)), Config: capacity.Size{Workers: 8, Pools: 1, Services: 1, Teams: 1}.Config()}
	s.Config.Services[0].Timeout = serviceTimeout
	t.Cleanup(s.stop)
	s.startControls()
	for i := range entries {
		s.addEntry(i)
	}
	if r := s.Operator("setup").Submit(t.Context(), client.NewRequestID(), model.AcceptConfig{Config: s.Config}); r.Code != result.Accepted {
		t.Fatal(r.Error())
	}
	s.WaitUntil("every entry instance is ready", func() bool { return s.AllReady(s.Entries...) })
	return s
}

func (s *Site) startControls() {
	folder := s.t.TempDir()
	var list []string
	var listen []string
	for i := range replicaCount {
		listen = append(listen, FreeAddress(s.t))
		r, err := NewRelay(FreeAddress(s.t), listen[i], s.pids.List)
		if err != nil {
			s.t.Fatal(err)
		}
		s.ReplicaRelays = append(s.ReplicaRelays, r)
		list = append(list, fmt.Sprintf("c%d@dc%d=%s", i, i, r.Address()))
	}
	for i, r := range s.ReplicaRelays {
		p := s.process(fmt.Sprintf("c%d", i), FreeAddress(s.t))
		p.Folder = filepath.Join(folder, p.Name)
		p.args = []string{
			"run", "--region=r1", "--name=" + p.Name, "--roles=control", fmt.Sprintf("--data-center=dc%d", i), "--replicas=" + strings.Join(list, ","),
			"--internal-address=" + r.Address(), "--internal-listen=" + listen[i], "--operator-address=" + p.Address, "--data-folder=" + p.Folder,
		}
		s.Controls = append(s.Controls, p)
		p.Start()
	}
}

func (s *Site) addEntry(i int) {
	var list []string
	for n, r := range s.ReplicaRelays {
		list = append(list, fmt.Sprintf("c%d@dc%d=%s", n, n, r.Address()))
	}
	p := s.process(fmt.Sprintf("e%d", i), FreeAddress(s.t))
	p.args = []string{
		"run", "--region=r1", "--name=" + p.Name, "--roles=entry", fmt.Sprintf("--data-center=dc%d", i%replicaCount), "--replicas=" + strings.Join(list, ","),
		"--internal-address=" + FreeAddress(s.t), "--public-address=" + p.Address,
	}
	s.Entries = append(s.Entries, p)
	p.Start()
}

func (s *Site) process(name, address string) *Process {
	p := NewProcess(s.t, name, &s.pids, nil)
	p.Address = address
	return p
}

// stop stops everything that belongs to the site. It prints the logs of the processes
// if the test has failed.
func (s *Site) stop() {
	for _, t := range s.Targets {
		t.Kill()
	}
	for _, p := range append(s.Entries, s.Controls...) {
		p.Kill()
		if s.t.Failed() {
			s.t.Logf("log of %s:\n%s", p.Name, p.Log())
		}
	}
	for _, r := range append(s.TargetRelays, s.ReplicaRelays...) {
		r.Close()
	}
	s.http.CloseIdleConnections()
	<-siteSlots
}

// WaitUntil waits until condition holds. If it does not hold within 30 s, the test fails
// at once; what names the condition in the failure text.
func (s *Site) WaitUntil(what string, condition func() bool) {
	s.t.Helper()
	if !WaitWithin(waitTimeout, condition) {
		s.t.Fatalf("timed out after %s waiting until %s", waitTimeout, what)
	}
}

// WaitWithin polls condition until it holds. It reports false if it does not hold within d.
func WaitWithin(d time.Duration, condition func() bool) bool {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for until := time.Now().Add(d); ; <-ticker.C {
		if condition() {
			return true
		}
		if time.Now().After(until) {
			return false
		}
	}
}

// Operator returns an operator client that uses all control replicas.
func (s *Site) Operator(actor string) *client.Client {
	s.t.Helper()
	var addresses []string
	for _, c := range s.Controls {
		addresses = append(addresses, c.Address)
	}
	return s.OperatorAt(actor, addresses...)
}

// OperatorAt returns an operator client that uses only the given addresses.
func (s *Site) OperatorAt(actor string, addresses ...string) *client.Client {
	s.t.Helper()
	c, err := client.New(client.Settings{Addresses: addresses, Actor: actor})
	if err != nil {
		s.t.Fatal(err)
	}
	return c
}

// ConfigWithSiteName returns Config with another site name, as a change that a test can submit.
func (s *Site) ConfigWithSiteName(name string) model.Config {
	c := s.Config
	c.Site = name
	return c
}

// Status returns the status of control replica i; nil if it does not answer within
// 500 ms.
func (s *Site) Status(i int) *replicav1.StatusResponse {
	ctx, cancel := context.WithTimeout(s.t.Context(), queryTimeout)
	defer cancel()
	resp, err := replicav1connect.NewReplicaQueryServiceClient(s.http, "http://"+s.ReplicaRelays[i].server).Status(ctx, connect.NewRequest(&replicav1.StatusRequest{}))
	if err != nil {
		return nil
	}
	return resp.Msg
}

// Leader waits until a control replica reports that it is the leader and returns its
// index in Controls; of several, the one with the highest term. Replicas in without are
// ignored.
func (s *Site) Leader(without ...*Process) int {
	s.t.Helper()
	leader := -1
	s.WaitUntil("a control replica leads", func() bool {
		var term uint64
		for i, c := range s.Controls {
			if slices.Contains(without, c) {
				continue
			}
			if st := s.Status(i); st != nil && st.Leader && st.Term > term {
				leader, term = i, st.Term
			}
		}
		return leader >= 0
	})
	return leader
}

// Readiness is the answer of an entry instance to GET /readyz. Revision and Index are
// those of the state that it serves with.
type Readiness struct {
	Ready    bool   `json:"ready"`
	Reason   string `json:"reason"`
	Revision uint64 `json:"revision"`
	Index    uint64 `json:"index"`
}

// Readiness queries the readiness of an entry instance. It reports false if there is no
// answer within 500 ms.
func (s *Site) Readiness(p *Process) (r Readiness, ok bool) {
	ctx, cancel := context.WithTimeout(s.t.Context(), queryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Address+"/readyz", nil)
	if err != nil {
		return r, false
	}
	resp, err := s.http.Do(req)
	if err != nil {
		return r, false
	}
	defer resp.Body.Close()
	return r, json.NewDecoder(resp.Body).Decode(&r) == nil
}

// AllReady reports whether all given entry instances are ready.
func (s *Site) AllReady(entries ...*Process) bool {
	for _, e := range entries {
		if r, ok := s.Readiness(e); !ok || !r.Ready {
			return false
		}
	}
	return true
}

// AllAtRevision reports whether all given entry instances are ready with the revision or a
// newer one.
func (s *Site) AllAtRevision(revision uint64, entries ...*Process) bool {
	for _, e := range entries {
		if r, ok := s.Readiness(e); !ok || !r.Ready || r.Revision < revision {
			return false
		}
	}
	return true
}

// AddTarget starts a target behind a relay. The target announces itself to the given
// entry instances, and AddTarget waits until all of them list it as ready.
func (s *Site) AddTarget(announceTo ...*Process) *site.Target {
	s.t.Helper()
	t := &site.Target{
		ID: model.TargetID(fmt.Sprintf("t%d", len(s.Targets))), Instance: s.Config.Instances[len(s.Targets)].ID, Service: s.Config.Services[0].Name,
		Entries: func() (urls []string) {
			for _, e := range announceTo {
				urls = append(urls, "http://"+e.Address)
			}
			return urls
		},
	}
	t.Forwarded = func(address string) string {
		r, err := NewRelay(FreeAddress(s.t), address, s.pids.List)
		if err != nil {
			s.t.Fatal(err)
		}
		s.TargetRelays = append(s.TargetRelays, r)
		return r.Address()
	}
	if err := t.Start(s.t.Context()); err != nil {
		s.t.Fatal(err)
	}
	s.Targets = append(s.Targets, t)
	s.WaitUntil("the entry instances list the target as ready", func() bool {
		for _, e := range announceTo {
			if phases, ok := s.Phases(e); !ok || phases[string(t.ID)] != model.TargetReady.String() {
				return false
			}
		}
		return true
	})
	return t
}

// Phases returns the phase of each target as an entry instance lists it, by target id.
// It reports false if there is no answer within 500 ms.
func (s *Site) Phases(e *Process) (map[string]string, bool) {
	ctx, cancel := context.WithTimeout(s.t.Context(), queryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Address+"/targets", nil)
	if err != nil {
		return nil, false
	}
	resp, err := s.http.Do(req)
	if err != nil {
		return nil, false
	}
	defer resp.Body.Close()
	var list []struct{ ID, Phase string }
	if json.NewDecoder(resp.Body).Decode(&list) != nil {
		return nil, false
	}
	out := map[string]string{}
	for _, x := range list {
		out[x.ID] = x.Phase
	}
	return out, true
}
