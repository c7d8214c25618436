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
	// patience bounds a wait for a condition; a longer one has failed.
	patience = 30 * time.Second
	// look is the time between two looks at a condition.
	look = 10 * time.Millisecond
	// askTimeout bounds one question to a process that may be frozen.
	askTimeout = 500 * time.Millisecond
	// serviceTimeout is how long a call without an answer keeps its caller.
	serviceTimeout = 5 * time.Second
	// replicaCount is one replica in each data centre.
	replicaCount = 3
)

// sites bounds the sites that run at the same time, to stay below 40 processes.
var sites = make(chan struct{}, 5)

// Site is a running site: three control replicas, entry instances and targets.
type Site struct {
	Controls []*Process
	Entries  []*Process
	// Replicas are the relays in front of the internal addresses of Controls.
	Replicas []*Relay
	Targets  []*site.Target
	// Workers are the relays in front of Targets.
	Workers []*Relay
	// Config is the configuration accepted last through Accept.
	Config model.Config

	t    testing.TB
	http *http.Client
	pids PIDs
}

// Start starts a site with a configuration and waits until its entry instances
// are ready. Everything ends with the test.
func Start(t testing.TB, entries int) *Site {
	t.Helper()
	sites <- struct{}{}
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
	s.Until("every entry instance is ready", func() bool { return s.AllReady(s.Entries...) })
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
		s.Replicas = append(s.Replicas, r)
		list = append(list, fmt.Sprintf("c%d@dc%d=%s", i, i, r.Address()))
	}
	for i, r := range s.Replicas {
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
	for n, r := range s.Replicas {
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

// stop ends everything; logs are shown only if the test has failed.
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
	for _, r := range append(s.Workers, s.Replicas...) {
		r.Close()
	}
	s.http.CloseIdleConnections()
	<-sites
}

// Until waits for a condition and fails the test if it does not come about.
func (s *Site) Until(what string, condition func() bool) {
	s.t.Helper()
	if !Within(patience, condition) {
		s.t.Fatalf("not within %s: %s", patience, what)
	}
}

// Within waits for a condition; it reports false if it does not come about in time.
func Within(d time.Duration, condition func() bool) bool {
	ticker := time.NewTicker(look)
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

// Operator returns a client that knows all control replicas.
func (s *Site) Operator(actor string) *client.Client {
	s.t.Helper()
	var addresses []string
	for _, c := range s.Controls {
		addresses = append(addresses, c.Address)
	}
	return s.OperatorAt(actor, addresses...)
}

// OperatorAt returns a client that knows the addresses only.
func (s *Site) OperatorAt(actor string, addresses ...string) *client.Client {
	s.t.Helper()
	c, err := client.New(client.Settings{Addresses: addresses, Actor: actor})
	if err != nil {
		s.t.Fatal(err)
	}
	return c
}

// Named returns the configuration with another name of the site.
func (s *Site) Named(name string) model.Config {
	c := s.Config
	c.Site = name
	return c
}

// Status asks a control replica; nil if it does not answer.
func (s *Site) Status(i int) *replicav1.StatusResponse {
	ctx, cancel := context.WithTimeout(s.t.Context(), askTimeout)
	defer cancel()
	resp, err := replicav1connect.NewReplicaQueryServiceClient(s.http, "http://"+s.Replicas[i].server).Status(ctx, connect.NewRequest(&replicav1.StatusRequest{}))
	if err != nil {
		return nil
	}
	return resp.Msg
}

// Leader waits for a leader among the replicas, but for those left out, and
// returns its number.
func (s *Site) Leader(without ...*Process) int {
	s.t.Helper()
	leader := -1
	s.Until("a control replica leads", func() bool {
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

// Readiness is what an entry instance reports about itself.
type Readiness struct {
	Ready    bool   `json:"ready"`
	Reason   string `json:"reason"`
	Revision uint64 `json:"revision"`
	Index    uint64 `json:"index"`
}

// Readiness asks an entry instance; it reports false if there is no answer.
func (s *Site) Readiness(p *Process) (r Readiness, ok bool) {
	ctx, cancel := context.WithTimeout(s.t.Context(), askTimeout)
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

// AllReady reports whether all the entry instances are ready.
func (s *Site) AllReady(entries ...*Process) bool {
	for _, e := range entries {
		if r, ok := s.Readiness(e); !ok || !r.Ready {
			return false
		}
	}
	return true
}

// AllHold reports whether all the entry instances have the revision in force.
func (s *Site) AllHold(revision uint64, entries ...*Process) bool {
	for _, e := range entries {
		if r, ok := s.Readiness(e); !ok || !r.Ready || r.Revision < revision {
			return false
		}
	}
	return true
}

// AddTarget starts a target behind a relay that announces itself to the entry
// instances given, and waits until these know it.
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
		s.Workers = append(s.Workers, r)
		return r.Address()
	}
	if err := t.Start(s.t.Context()); err != nil {
		s.t.Fatal(err)
	}
	s.Targets = append(s.Targets, t)
	s.Until("the target is known", func() bool {
		for _, e := range announceTo {
			if phases, ok := s.Phases(e); !ok || phases[string(t.ID)] != model.TargetReady.String() {
				return false
			}
		}
		return true
	})
	return t
}

// Phases returns the phase of each target on an entry instance; it reports
// false if there is no answer.
func (s *Site) Phases(e *Process) (map[string]string, bool) {
	ctx, cancel := context.WithTimeout(s.t.Context(), askTimeout)
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
