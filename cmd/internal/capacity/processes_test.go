package capacity

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/operator/client"
)

const (
	// warmUp is how long processes run before they are measured.
	warmUp = 5 * time.Second
	// measureTime is how long processes are measured.
	measureTime = 10 * time.Second
)

// ticksPerSecond is the number of clock ticks per second. Linux counts processor time in
// /proc in clock ticks.
const ticksPerSecond = 100

// process is one lacewingturnd. metrics is the address that serves its metrics; on
// an entry instance it serves callers and targets, too.
type process struct {
	cmd     *exec.Cmd
	metrics string
}

// group holds the processes of one site.
type group struct {
	b         *testing.B
	binary    string
	controls  []process
	entries   []process
	operators []string
}

// BenchmarkControlCost starts real processes, announces one target for each
// worker, and measures the processor time, memory and internal traffic of the processes
// while no caller sends requests.
func BenchmarkControlCost(b *testing.B) {
	binary := buildDaemon(b)
	for _, p := range []struct{ workers, entries int }{{50, 4}, {50, 12}, {360, 12}, {720, 12}} {
		b.Run(fmt.Sprintf("workers=%d/entries=%d", p.workers, p.entries), func(b *testing.B) {
			for b.Loop() {
				measure(b, binary, p.workers, p.entries)
			}
		})
	}
}

func buildDaemon(b *testing.B) string {
	binary := filepath.Join(b.TempDir(), "lacewingturnd")
	if out, err := exec.Command("go", "build", "-o", binary, "lacewingturn.example/cmd/lacewingturnd").CombinedOutput(); err != nil {
		b.Fatalf("%v: %s", err, out)
	}
	return binary
}

func measure(b *testing.B, binary string, workers, entries int) {
	g := &group{b: b, binary: binary}
	defer g.stop()
	g.start(entries)
	size := TargetSize
	size.Workers = workers
	if workers == CurrentSize.Workers {
		size.Pools, size.Services, size.Teams = CurrentSize.Pools, CurrentSize.Services, CurrentSize.Teams
	}
	config := size.Config()
	g.accept(0, config)
	ctx, cancel := context.WithCancel(b.Context())
	var targets sync.WaitGroup
	for i := range workers {
		targets.Go(func() { g.announce(ctx, i, size) })
	}
	time.Sleep(warmUp)
	before := g.sampleAll()
	time.Sleep(measureTime)
	g.report(before, g.sampleAll())
	config.Services[0].Timeout += time.Second
	begin := time.Now()
	g.accept(1, config)
	g.awaitRevision(2)
	b.ReportMetric(float64(time.Since(begin).Milliseconds()), "in-force-ms")
	cancel()
	targets.Wait()
}

func freePort(b *testing.B) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func (g *group) start(entries int) {
	folder := g.b.TempDir()
	var replicas []string
	for i := range 3 {
		replicas = append(replicas, fmt.Sprintf("c%d@dc%d=%s", i, i, freePort(g.b)))
	}
	list := "--replicas=" + strings.Join(replicas, ",")
	for i, r := range replicas {
		_, address, _ := strings.Cut(r, "=")
		operator := freePort(g.b)
		g.operators = append(g.operators, operator)
		g.controls = append(g.controls, g.run(operator, list, fmt.Sprintf("--name=c%d", i), "--roles=control", fmt.Sprintf("--data-center=dc%d", i),
			"--internal-address="+address, "--operator-address="+operator, "--data-folder="+filepath.Join(folder, strconv.Itoa(i))))
	}
	for i := range entries {
		public := freePort(g.b)
		g.entries = append(g.entries, g.run(public, list, fmt.Sprintf("--name=e%d", i), "--roles=entry", fmt.Sprintf("--data-center=dc%d", i%3),
			"--internal-address="+freePort(g.b), "--public-address="+public))
	}
}

func (g *group) run(metrics string, args ...string) process {
	cmd := exec.Command(g.binary, append([]string{"run", "--region=r1", "--log-level=error"}, args...)...)
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		g.b.Fatal(err)
	}
	return process{cmd: cmd, metrics: metrics}
}

func (g *group) stop() {
	for _, p := range append(g.controls, g.entries...) {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
	}
}

// awaitRevision waits until every entry instance uses the revision or a newer one.
func (g *group) awaitRevision(revision uint64) {
	for _, e := range g.entries {
		for begin := time.Now(); g.revision(e) < revision; {
			if time.Since(begin) > 30*time.Second {
				g.b.Fatalf("revision %d not in use on %s after 30 s", revision, e.metrics)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
}

func (g *group) revision(p process) uint64 {
	resp, err := http.Get("http://" + p.metrics + "/readyz")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var answer struct {
		Revision uint64 `json:"revision"`
	}
	_ = json.NewDecoder(resp.Body).Decode(&answer)
	return answer.Revision
}

func (g *group) accept(base model.Revision, c model.Config) {
	operator, err := client.New(client.Settings{Addresses: g.operators, Actor: "capacity"})
	if err != nil {
		g.b.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(g.b.Context(), 30*time.Second)
	defer cancel()
	if r := operator.Submit(ctx, client.NewRequestID(), model.AcceptConfig{Base: base, Config: c}); r.Code != result.Accepted {
		g.b.Fatal(r.Error())
	}
}

// announce joins a target and then sends heartbeats at the interval that the entry
// instances return.
func (g *group) announce(ctx context.Context, i int, size Size) {
	t := target(i, size.Services, 1)
	join := map[string]any{"instance": t.Instance, "service": t.Service, "address": t.Address, "generation": 1, "slots": 8, "connections": 64}
	interval := time.Second
	joined := false
	for n := 1; ctx.Err() == nil; n++ {
		action, body := "heartbeat", map[string]any{"generation": 1, "sequence": n, "running": []string{}}
		if !joined {
			action, body = "join", join
		}
		if next, ok := g.post(ctx, fmt.Sprintf("http://%s/targets/%s/%s", g.entries[(i+n)%len(g.entries)].metrics, t.ID, action), body); ok {
			joined, interval = true, next
		}
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

var targetClient = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// post sends a message of a target and returns the heartbeat interval from the answer.
// It reports false if there is no valid answer.
func (g *group) post(ctx context.Context, url string, body any) (time.Duration, bool) {
	data, _ := json.Marshal(body)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return 0, false
	}
	resp, err := targetClient.Do(req)
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	var answer struct {
		HeartbeatMs int64 `json:"heartbeat_ms"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil || resp.StatusCode != http.StatusOK || answer.HeartbeatMs <= 0 {
		return 0, false
	}
	return time.Duration(answer.HeartbeatMs) * time.Millisecond, true
}

// usage is a sample of the resources of one process: processor time and traffic since
// its start, and its present memory.
type usage struct {
	cpu     time.Duration
	rss     float64 // bytes
	traffic float64 // bytes sent and received
	at      time.Time
}

func (g *group) sampleAll() []usage {
	var out []usage
	for _, p := range append(g.controls, g.entries...) {
		out = append(out, g.sample(p))
	}
	return out
}

func (g *group) sample(p process) usage {
	r := usage{at: time.Now()}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		g.b.Fatal(err)
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+2:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	pages, _ := strconv.Atoi(fields[21])
	r.cpu = time.Duration(user+system) * time.Second / ticksPerSecond
	r.rss = float64(pages * os.Getpagesize())
	resp, err := http.Get("http://" + p.metrics + "/metrics")
	if err != nil {
		g.b.Fatal(err)
	}
	defer resp.Body.Close()
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if name, value, ok := strings.Cut(lines.Text(), " "); ok && strings.HasPrefix(name, "lacewingturn_internal_") {
			v, _ := strconv.ParseFloat(value, 64)
			r.traffic += v
		}
	}
	return r
}

// report reports, for each role and each resource, the usage of the process that used
// most of it between the two samples.
func (g *group) report(before, after []usage) {
	for i, role := range []string{"control", "entry"} {
		from, to := 0, len(g.controls)
		if i == 1 {
			from, to = to, len(after)
		}
		var cpu, rss, traffic float64
		for n := from; n < to; n++ {
			seconds := after[n].at.Sub(before[n].at).Seconds()
			cpu = max(cpu, 100*(after[n].cpu-before[n].cpu).Seconds()/seconds)
			rss = max(rss, after[n].rss/(1<<20))
			traffic = max(traffic, (after[n].traffic-before[n].traffic)/seconds/1000)
		}
		g.b.ReportMetric(cpu, role+"-core-%")
		g.b.ReportMetric(rss, role+"-MB")
		g.b.ReportMetric(traffic, role+"-KB/s")
	}
}
