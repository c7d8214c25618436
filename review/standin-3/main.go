// Command standin-3 plays the cases of the third review against the programs of the system:
// it starts them as processes on loopback addresses, and plays the platform, the workers, the
// operator and the clients. It exits with 1 if the rule was broken, 0 if it held and 2 if the
// case could not run.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	notRun = 2
)

const (
	host       = "jobs.example"
	prefix     = "/intake1/"
	lonelyRack = "r3-1"
)

// scene is what all cases share.
type scene struct {
	ctx      context.Context
	record   *record
	platform *platform
	link     *link
	paths    []*answers
	budget   budgetKeeper
	advice   *advice // nil where the queue has none
	site     *site
	trouble  bool
	client   *http.Client
	next     int
}

func main() {
	cases := map[string]func(*scene) (int, error){"returned-machine": returnedMachine, "late-order": lateOrder, "advice": adviceTaken, "pace": paceLost, "wipes": wipes, "budget": budget}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 returned-machine|late-order|advice|pace|wipes|budget RECORD")
		os.Exit(notRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[1] == "advice", os.Args[2]))
}

func play(run func(*scene) (int, error), advised bool, path string) int {
	fail := func(err error) int {
		fmt.Fprintln(os.Stderr, "not run:", err)
		return notRun
	}
	r, err := newRecord(path)
	if err != nil {
		return fail(err)
	}
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return fail(err)
	}
	defer os.RemoveAll(folder)
	ctx, cancel := context.WithTimeout(context.Background(), 110*time.Second)
	defer cancel()
	s := &scene{ctx: ctx, record: r, trouble: os.Getenv("TROUBLE") != "0", client: &http.Client{Timeout: 3 * time.Second}}
	if s.platform, err = newPlatform(ctx, r); err != nil {
		return fail(err)
	}
	if s.link, err = newLink(s.platform.address, r); err != nil {
		return fail(err)
	}
	adviceAddress := ""
	if advised {
		if s.advice, err = newAdvice(r); err != nil {
			return fail(err)
		}
		adviceAddress, s.platform.allows = s.advice.address, s.advice.allows
	}
	s.site, err = startSite(folder, s.link.address(), adviceAddress, r)
	if s.site != nil {
		defer s.site.stop()
	}
	if err != nil {
		return fail(err)
	}
	stopOnSignal(s.site, folder)
	if err := s.prepare(os.Args[1] == "budget"); err != nil {
		return fail(err)
	}
	code, err := run(s)
	if err != nil {
		r.add("not run: %v", err)
		return fail(err)
	}
	r.add("exit code %d", code)
	return code
}

// stopOnSignal ends all processes if this one is told to end.
func stopOnSignal(s *site, folder string) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-signals
		s.stop()
		os.RemoveAll(folder)
		os.Exit(notRun)
	}()
}

// prepare publishes the configuration, starts nine workers in racks of four, and waits until a
// job has run in the rack of the one that is left, or of two.
func (s *scene) prepare(twoInRack bool) error {
	if err := s.until(20*time.Second, "the configuration is acknowledged", s.publish); err != nil {
		return err
	}
	racks := []string{lonelyRack, "r1-1", "r1-1", "r1-1", "r1-1", "r2-1", "r2-1", "r2-1", "r2-1"}
	if twoInRack {
		racks[1] = lonelyRack
		s.platform.stopTime, s.platform.stopping, s.platform.stopped = stopTime, s.budget.stopping, s.budget.stopped
	}
	reach := map[string]string{}
	for _, to := range s.site.seeds() {
		a, err := newAnswers(to)
		if err != nil {
			return err
		}
		s.paths = append(s.paths, a)
		reach[to] = a.listener.Addr().String()
	}
	for i, rack := range racks {
		paths := reach
		if rack != lonelyRack {
			paths = nil
		}
		s.platform.addMachine(fmt.Sprintf("m-%02d", i+1), fmt.Sprintf("kind-%d", i+1), rack, s.site.seeds(), paths)
	}
	id := s.submit(1, 1000, 200*time.Millisecond, lonelyRack)
	return s.until(20*time.Second, "the first job is completed", func() bool { return s.state(id) == "completed" })
}

// until waits until a condition holds.
func (s *scene) until(limit time.Duration, what string, holds func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			s.record.add("%s", what)
			return nil
		}
	}
	return fmt.Errorf("not within %v: %s", limit, what)
}

// call sends a request and returns the status and the body; 0 without an answer.
func (s *scene) call(method, address, path string, body any) (int, []byte) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body) // holds nothing that cannot be encoded
	}
	req, err := http.NewRequestWithContext(s.ctx, method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", "3000")
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	out, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, out
}

// pick returns the addresses in turn, as clients and the operator try one after the other.
func (s *scene) pick(addresses []string) string {
	s.next++
	return addresses[s.next%len(addresses)]
}

// publish sends the configuration and reports whether it was acknowledged.
func (s *scene) publish() bool {
	route := map[string]any{
		"name": "r-intake", "host": host, "path_prefix": prefix, "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 3600,
		"priority": 0, "service": service, "max_attempts": 3, "stretch": 1.6,
	}
	if s.advice != nil {
		route["advice"] = map[string]any{"decision_ms": decision.Milliseconds(), "period_ms": period.Milliseconds(), "validity_ms": validity.Milliseconds()}
	}
	status, _ := s.call(http.MethodPut, s.pick(s.site.seeds()), "/lacewingturn/config", map[string]any{
		"version":  1,
		"routes":   []any{route},
		"services": []map[string]any{{"name": service, "health_path": "/healthz", "max_connections": 64, "protocol": "h1", "tls": false, "enforces_capacity": true, "standby": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	return status == http.StatusOK
}

// startWave orders a wave until it is acknowledged.
func (s *scene) startWave(limit int, duration time.Duration, machines ...string) error {
	s.platform.mu.Lock()
	s.platform.limit = limit
	s.platform.mu.Unlock()
	s.record.add("operator: wave 1 of %v, cap %d", machines, limit)
	return s.until(10*time.Second, "the wave is acknowledged", func() bool {
		status, _ := s.call(http.MethodPost, s.pick(s.site.seeds()), "/lacewingturn/wave-start", map[string]any{
			"wave": 1, "machines": machines, "duration_s": int(duration.Seconds()), "cap": limit,
		})
		return status == http.StatusOK
	})
}

func (s *scene) waveCompleted() bool {
	status, body := s.call(http.MethodGet, s.pick(s.site.seeds()), "/lacewingturn/wave-get/1", nil)
	return status == http.StatusOK && bytes.Contains(body, []byte("completed"))
}

// submit hands a job of equal tasks in until it is accepted, and returns its ID. Cores are
// thousandths that each task takes.
func (s *scene) submit(tasks int, cores int64, runTime time.Duration, label string) string {
	id := fmt.Sprintf("%016x", rand.Uint64())
	phase := map[string]any{"count": tasks, "cpu_millis": cores, "mem_mb": 64, "estimate_ms": runTime.Milliseconds()}
	if label != "" {
		phase["requirements"] = label
	}
	s.handIn(id, fmt.Sprintf("%s %d", runTime, cores), phase)
	return id
}

// handIn hands a job of one step in until it is accepted.
func (s *scene) handIn(id, spec string, phase map[string]any) {
	for s.ctx.Err() == nil {
		status, _ := s.call(http.MethodPost, s.pick(s.site.frontends()), prefix+id, map[string]any{"spec": spec, "phases": []any{phase}})
		s.record.add("client: job %s, spec %q, %v: %d", id, spec, phase, status)
		if status == http.StatusOK {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// state returns the state that a client is told; empty without one.
func (s *scene) state(id string) string {
	status, body := s.call(http.MethodGet, s.pick(s.site.frontends()), prefix+id, nil)
	var got struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal(body, &got) != nil {
		return ""
	}
	return got.State
}
