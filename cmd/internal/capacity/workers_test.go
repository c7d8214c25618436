package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"lacewingturn.example/api/codec"
	"lacewingturn.example/cmd/site"
	"lacewingturn.example/core/command"
	"lacewingturn.example/core/command/job"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/operator/client"
)

// jobsPerWorker is the number of jobs that run on each worker in these benchmarks.
const jobsPerWorker = 4

// simulatedTime is how long the workers of BenchmarkWorkerLog send reports, measured
// by the timestamps in the log.
const simulatedTime = 10 * time.Minute

// workerLog applies the reports of simulated workers to a control state in which all
// jobs run. It counts the commands that they add to the log, and the bytes of these.
type workerLog struct {
	b        *testing.B
	s        model.State
	now      model.Timestamp
	bytes    int
	commands int
	used     map[uint64]model.Resources // actual usage by lease token
	reported map[uint64]model.Resources // usage reported last, by lease token
	rng      *rand.Rand
}

func newWorkerLog(b *testing.B, workers int) *workerLog {
	size := TargetSize
	size.Workers, size.Jobs, size.Claims = workers, workers*jobsPerWorker, 0
	w := &workerLog{b: b, s: size.Build().State, now: start, used: map[uint64]model.Resources{}, reported: map[uint64]model.Resources{}, rng: rand.New(rand.NewPCG(7, 7))}
	for n := 0; w.s.JobIndex.Active.Len() < size.Jobs && n < 10; n++ {
		commands, _ := job.Reconcile(w.s, w.now)
		for _, c := range commands {
			w.apply(c)
		}
	}
	for _, j := range w.s.JobIndex.Active.All() {
		w.apply(model.JobStarted{ID: j.ID, Token: j.Lease.Token})
		w.used[j.Lease.Token] = model.Resources{MilliCPU: 400, MemoryMB: 800}
	}
	w.bytes, w.commands = 0, 0
	return w
}

// apply applies a command and counts its bytes in the log.
func (w *workerLog) apply(c model.Command) result.Result {
	data, err := codec.EncodeEnvelope(model.Envelope{Command: c})
	if err != nil {
		w.b.Fatal(err)
	}
	w.bytes += len(data)
	w.commands++
	next, r := command.Apply(w.s, w.s.Index+1, 1, model.Envelope{Time: w.now, Command: c})
	w.s = next
	return r
}

// varyUsage changes the usage of a job by up to 3 % in each direction.
func (w *workerLog) varyUsage(token uint64) model.Resources {
	u := w.used[token]
	u.MilliCPU += u.MilliCPU * (w.rng.Int64N(61) - 30) / 1000
	u.MemoryMB += u.MemoryMB * (w.rng.Int64N(61) - 30) / 1000
	w.used[token] = u
	return u
}

// reportPerJob reports each job in a separate command and returns the time until
// the next report, 5 s.
func (w *workerLog) reportPerJob(_ model.InstanceID, jobs []model.Job) time.Duration {
	for _, j := range jobs {
		w.apply(model.JobReport{ID: j.ID, Token: j.Lease.Token, Used: w.varyUsage(j.Lease.Token)})
	}
	return 5 * time.Second
}

// reportPerWorker reports all jobs of a worker in one command, with the usage only
// of those whose usage has changed. It returns the time until the next report from
// the answer.
func (w *workerLog) reportPerWorker(worker model.InstanceID, jobs []model.Job) time.Duration {
	c := model.ReportWork{Worker: worker}
	for _, j := range jobs {
		token := j.Lease.Token
		if used := w.varyUsage(token); job.UsageChanged(w.reported[token], used) {
			w.reported[token] = used
			c.Usage = append(c.Usage, model.JobReport{ID: j.ID, Token: token, Used: used})
			continue
		}
		c.Held = append(c.Held, token)
	}
	r := w.apply(c)
	if r.Work == nil || len(r.Work.Jobs) != len(c.Usage) {
		w.b.Fatalf("the answer to the report of %s does not list each job with changed usage: %+v", worker, r)
	}
	return time.Duration(r.Work.NextMs) * time.Millisecond
}

// run makes all workers report for simulatedTime.
func (w *workerLog) run(report func(model.InstanceID, []model.Job) time.Duration) {
	next := map[model.InstanceID]model.Timestamp{}
	end := w.now.Add(simulatedTime)
	for ; w.now < end; w.now = w.now.Add(time.Second) {
		for id := range w.s.JobIndex.Loads.All() {
			if w.now < next[id] {
				continue
			}
			var jobs []model.Job
			for _, j := range w.s.JobIndex.Worker(id) {
				jobs = append(jobs, j)
			}
			next[id] = w.now.Add(report(id, jobs))
		}
	}
}

// BenchmarkWorkerLog measures what reports add to the log, with one command for
// each job and with one for each worker.
func BenchmarkWorkerLog(b *testing.B) {
	for _, workers := range []int{50, 720} {
		for _, together := range []bool{false, true} {
			b.Run(fmt.Sprintf("workers=%d/together=%t", workers, together), func(b *testing.B) {
				var w *workerLog
				for b.Loop() {
					w = newWorkerLog(b, workers)
					if together {
						w.run(w.reportPerWorker)
					} else {
						w.run(w.reportPerJob)
					}
				}
				if active := w.s.JobIndex.Active.Len(); active != workers*jobsPerWorker {
					b.Fatalf("%d of %d jobs are active at the end", active, workers*jobsPerWorker)
				}
				b.ReportMetric(float64(w.bytes)/simulatedTime.Seconds(), "log-B/s")
				b.ReportMetric(float64(w.commands)/simulatedTime.Seconds(), "commands/s")
				b.ReportMetric(float64(w.bytes)/float64(w.commands), "B/command")
			})
		}
	}
}

// BenchmarkWorkerTraffic starts real processes and simulated workers with four jobs
// each and measures what the processes use while all jobs run.
func BenchmarkWorkerTraffic(b *testing.B) {
	binary := buildDaemon(b)
	for _, workers := range []int{0, 50, 720} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			for b.Loop() {
				measureWorkers(b, binary, workers)
			}
		})
	}
}

func measureWorkers(b *testing.B, binary string, workers int) {
	g := &group{b: b, binary: binary}
	defer g.stop()
	g.start(12)
	size := TargetSize
	size.Workers = max(workers, CurrentSize.Workers)
	g.accept(0, size.Config())
	urls := make([]string, 0, len(g.entries))
	for _, e := range g.entries {
		urls = append(urls, "http://"+e.metrics)
	}
	var running []*site.Worker
	for i := range workers {
		w := &site.Worker{Instance: instanceID(i), Entries: func() []string { return urls }}
		w.Start(b.Context())
		running = append(running, w)
	}
	defer func() {
		for _, w := range running {
			w.Stop()
		}
	}()
	g.submitJobs(size, workers*jobsPerWorker)
	runs := func() (n int) {
		for _, w := range running {
			n += len(w.Executions())
		}
		return n
	}
	for wait := 0; runs() < workers*jobsPerWorker; wait++ {
		if wait > 1200 {
			b.Fatalf("%d of %d jobs started within 2 minutes", runs(), workers*jobsPerWorker)
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(warmUp)
	before := g.sampleAll()
	// Each worker reports at least twice, so that the time of its first report does
	// not affect the result.
	time.Sleep(max(time.Minute, 2*job.ReportInterval(size.Workers)))
	g.report(before, g.sampleAll())
	b.ReportMetric(float64(runs()-workers*jobsPerWorker), "restarts")
}

// submitJobs submits n jobs that take a quarter of the processors of a worker each.
func (g *group) submitJobs(size Size, n int) {
	operator, err := client.New(client.Settings{Addresses: g.operators, Actor: "capacity"})
	if err != nil {
		g.b.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(g.b.Context(), time.Minute)
	defer cancel()
	var all sync.WaitGroup
	slots := make(chan struct{}, 64)
	for i := range n {
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			j := size.job(i)
			j.Pool = poolName(i % size.Workers % size.Pools) // the same number of jobs for each worker
			j.Declared, j.DeclaredRun = model.Resources{MilliCPU: 4000, MemoryMB: 8000}, time.Hour
			if r := operator.Submit(ctx, client.NewRequestID(), model.SubmitJob{Job: j}); r.Code != result.Accepted {
				g.b.Error(r.Error())
			}
		})
	}
	all.Wait()
}
