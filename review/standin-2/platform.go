package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// queue is where clients hand in jobs.
type queue struct{ name, host, prefix string }

// firstQueue is the only queue of the site.
var firstQueue = queue{"r-5xwyhks", "pule25.example", "/puxa400/"}

const service = "huvo11a"

// followTwice makes a client follow two redirects, as the platform's callers do.
func followTwice(_ *http.Request, via []*http.Request) error {
	if len(via) > 2 {
		return http.ErrUseLastResponse
	}
	return nil
}

// call sends a request with a JSON body, which may be nil, and returns the status and the body
// of the response; status 0 if there was none.
func call(c *http.Client, method, url, host string, body any) (int, []byte) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return 0, nil
		}
		reader = bytes.NewReader(data)
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return 0, nil
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	if host != "" {
		req.Header.Set("Deadline-Ms", "3000")
	}
	resp, err := c.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// route returns the queue as an entry of a configuration.
func (q queue) route(version int) map[string]any {
	return map[string]any{
		"name": q.name, "host": q.host, "path_prefix": q.prefix, "kind": "non_idempotent", "timeout_ms": 3000 + version,
		"target_latency_ms": 3600, "priority": 0, "service": service, "max_attempts": 3, "stretch": 1.6,
	}
}

// operator sends and reads configurations.
type operator struct {
	site   *site
	client *http.Client
}

func newOperator(s *site) *operator {
	return &operator{s, &http.Client{Timeout: time.Second, CheckRedirect: followTwice, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// publish sends the configuration until it is acknowledged or the time is over.
func (o *operator) publish(version int, limit time.Duration) bool {
	config := map[string]any{
		"version": version,
		"routes":  []map[string]any{firstQueue.route(version)},
		"services": []map[string]any{{
			"name": service, "health_path": "/healthz", "max_connections": 64, "protocol": "h1", "tls": false, "enforces_capacity": true, "standby": false,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		status, _ := o.call(http.MethodPut, config)
		o.site.rec.add("operator", "sent configuration", map[string]int{"version": version, "status": status})
		if status == http.StatusOK {
			return true
		}
	}
	return false
}

// version reads the configuration back; 0 if no machine answers with it.
func (o *operator) version() int {
	status, body := o.call(http.MethodGet, nil)
	var got struct{ Version int }
	if status != http.StatusOK || json.Unmarshal(body, &got) != nil {
		got.Version = 0
	}
	o.site.rec.add("operator", "read configuration", map[string]int{"version": got.Version, "status": status})
	return got.Version
}

// call calls a random machine that runs.
func (o *operator) call(method string, body any) (int, []byte) {
	list := o.site.controls()
	if len(list) == 0 {
		return 0, nil
	}
	return call(o.client, method, "http://"+list[rand.IntN(len(list))]+"/lacewingturn/config", "", body)
}

// caller submits jobs to a queue and asks for their states.
type caller struct {
	site   *site
	queue  queue
	client *http.Client
}

func newCaller(s *site, q queue) *caller {
	return &caller{s, q, &http.Client{Timeout: 3 * time.Second}}
}

// phase is one step of a job.
type phase struct {
	Count       int   `json:"count"`
	CPUMillis   int64 `json:"cpu_millis"`
	MemMB       int64 `json:"mem_mb"`
	EstimateMs  int64 `json:"estimate_ms"`
	LongRunning bool  `json:"long_running,omitempty"`
	AntiAffine  int   `json:"anti_affinity,omitempty"`
	Missable    int   `json:"missable,omitempty"`
}

// submit sends the job until it is accepted or refused for good, at most five times, and
// reports whether it was accepted.
func (c *caller) submit(id, spec string, phases ...phase) bool {
	body := map[string]any{"spec": spec, "phases": phases}
	for range 5 {
		status := c.try(http.MethodPost, id, body)
		c.site.rec.add("client", "submitted "+c.queue.prefix+id, map[string]any{"status": status, "spec_bytes": len(spec), "phases": phases})
		if status == http.StatusOK {
			return true
		}
		if status != 0 && status < 500 && status != http.StatusTooManyRequests {
			return false
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// state returns the state of the job; empty if no machine answers with it.
func (c *caller) state(id string) (int, string) {
	status, body := c.call(http.MethodGet, id, nil)
	var got struct{ State string }
	if status != http.StatusOK || json.Unmarshal(body, &got) != nil {
		got.State = ""
	}
	c.site.rec.add("client", "asked for "+c.queue.prefix+id, map[string]any{"status": status, "state": got.State})
	return status, got.State
}

func (c *caller) try(method, id string, body any) int {
	status, _ := c.call(method, id, body)
	return status
}

// call calls a random machine that runs.
func (c *caller) call(method, id string, body any) (int, []byte) {
	list := c.site.entries()
	if len(list) == 0 {
		return 0, nil
	}
	return call(c.client, method, "http://"+list[rand.IntN(len(list))]+c.queue.prefix+id, c.queue.host, body)
}

// cloud is the platform's interface for machines. It lists the machines of the workers, all of
// them up. The site has one service, so that no move is possible.
type cloud struct {
	listener net.Listener
	server   *http.Server
	machines []map[string]any
}

func newCloud(workers []*worker) (*cloud, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &cloud{listener: listener}
	for _, w := range workers {
		c.machines = append(c.machines, map[string]any{
			"machine": w.machine, "pool": service, "state": "up", "zone": w.zone, "labels": w.labels(), "capacity": w.capacity(), "id": w.id,
		})
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /lacewingturn/machines", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(map[string]any{"machines": c.machines, "next_token": ""}) // fails only if the caller has gone
	})
	busy := func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusConflict)
		fmt.Fprint(w, `{"reason":"busy"}`)
	}
	mux.HandleFunc("POST /lacewingturn/machine-move", busy)
	mux.HandleFunc("POST /lacewingturn/machine-upkeep", busy)
	c.server = &http.Server{Handler: mux}
	go func() { _ = c.server.Serve(listener) }() // ends with the process
	return c, nil
}

func (c *cloud) address() string { return c.listener.Addr().String() }
