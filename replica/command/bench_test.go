package command

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/replica/client"
)

// slowConn delays writes by the one-way latency without limiting the throughput.
type slowConn struct {
	net.Conn
	delay time.Duration
	queue chan delayed
	done  chan struct{}
	once  sync.Once
}

type delayed struct {
	at   time.Time
	data []byte
}

func (c *slowConn) Write(p []byte) (int, error) {
	select {
	case c.queue <- delayed{time.Now().Add(c.delay), slices.Clone(p)}:
		return len(p), nil
	case <-c.done:
		return 0, net.ErrClosed
	}
}

func (c *slowConn) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.Conn.Close()
}

func (c *slowConn) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-c.done:
			return
		case d := <-c.queue:
			timer.Reset(time.Until(d.at))
			select {
			case <-timer.C:
			case <-c.done:
				return
			}
			if _, err := c.Conn.Write(d.data); err != nil {
				c.Close()
				return
			}
		}
	}
}

// slowDial returns a dial function whose connections have the one-way latency.
func slowDial(latency time.Duration) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		slow := &slowConn{Conn: conn, delay: latency, queue: make(chan delayed, 4096), done: make(chan struct{})}
		go slow.run()
		return slow, nil
	}
}

// quantile returns the q-quantile of the sorted list in milliseconds.
func quantile(sorted []time.Duration, q float64) float64 {
	return float64(sorted[int(q*float64(len(sorted)-1))]) / float64(time.Millisecond)
}

// syncTime returns the median duration of a 512-byte write and fsync in a folder.
func syncTime(b *testing.B, folder string) time.Duration {
	f, err := os.Create(filepath.Join(folder, "probe"))
	assert.NilError(b, err)
	defer f.Close()
	var times []time.Duration
	for range 50 {
		startedAt := time.Now()
		_, err := f.Write(make([]byte, 512))
		assert.NilError(b, err)
		assert.NilError(b, f.Sync())
		times = append(times, time.Since(startedAt))
	}
	slices.Sort(times)
	return times[len(times)/2]
}

// BenchmarkPropose measures the throughput in commands/s and the latency of
// commands with concurrent proposers on the leader, and the ratio of the median
// latency to the duration of one round trip and two syncs, which is meaningful
// for a single proposer.
func BenchmarkPropose(b *testing.B) {
	for _, latency := range []time.Duration{1500 * time.Microsecond, 500 * time.Microsecond} {
		for _, proposers := range []int{1, 12, 128} {
			b.Run(fmt.Sprintf("latency=%s/proposers=%d", latency, proposers), func(b *testing.B) {
				benchmarkPropose(b, latency, proposers)
			})
		}
	}
}

func benchmarkPropose(b *testing.B, latency time.Duration, proposers int) {
	var site []*instance
	for _, s := range siteSettings(b, 3) {
		s.Dial = slowDial(latency)
		site = append(site, start(b, s))
	}
	commit(b, site, 1<<20, 10)
	leader := leaderOf(b, site)
	syncs := syncTime(b, leader.settings.DataFolder)
	var next atomic.Int64
	times := make([][]time.Duration, proposers)
	var wg sync.WaitGroup
	b.ResetTimer()
	for p := range proposers {
		wg.Go(func() {
			for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
				startedAt := time.Now()
				results, err := leader.Propose(context.Background(), []model.Envelope{announce(int(n % 1000))})
				if err != nil || !results[0].Code.OK() {
					b.Errorf("%v %v", results, err)
					return
				}
				times[p] = append(times[p], time.Since(startedAt))
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	all := slices.Concat(times...)
	slices.Sort(all)
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commands/s")
	b.ReportMetric(quantile(all, 0.5), "p50-ms")
	b.ReportMetric(quantile(all, 0.99), "p99-ms")
	b.ReportMetric(quantile(all, 0.5)*float64(time.Millisecond)/float64(2*latency+2*syncs), "p50/(rtt+2syncs)")
}

// BenchmarkCatchUp measures the time until a replica that missed 10,000 changes
// has applied them, from the log and from a snapshot, and the time that a replica
// takes to recover 10,000 changes from its own log.
func BenchmarkCatchUp(b *testing.B) {
	const changes = 10_000
	for _, by := range []string{"log", "snapshot"} {
		b.Run(by, func(b *testing.B) {
			settings := siteSettings(b, 3)
			var site []*instance
			for i := range settings {
				settings[i].Dial = slowDial(1500 * time.Microsecond)
				settings[i].SnapshotEvery = 1 << 30
				if by == "snapshot" {
					settings[i].SnapshotEvery, settings[i].KeepEntries = 2000, 100
				}
				site = append(site, start(b, settings[i]))
			}
			fill(b, site, 0, 10)
			total := 10
			var open, caught time.Duration
			b.ResetTimer()
			for range b.N {
				b.StopTimer()
				site[2].stop()
				fill(b, site[:2], total, changes)
				total += changes
				b.StartTimer()
				startedAt := time.Now()
				site[2] = start(b, settings[2])
				open += time.Since(startedAt)
				eventually(b, site[2].Replica, "catch-up", func() bool { return applied(site[2]) >= total })
				caught += time.Since(startedAt)
			}
			b.ReportMetric(open.Seconds()*1000/float64(b.N), "open-ms")
			b.ReportMetric(caught.Seconds()*1000/float64(b.N), "caught-up-ms")
		})
	}
	b.Run("own-log", func(b *testing.B) {
		settings := siteSettings(b, 1)
		settings[0].SnapshotEvery = 1 << 30
		site := []*instance{start(b, settings[0])}
		fill(b, site, 0, changes)
		var open time.Duration
		for range b.N {
			site[0].stop()
			startedAt := time.Now()
			site[0] = start(b, settings[0])
			open += time.Since(startedAt)
		}
		b.ReportMetric(open.Seconds()*1000/float64(b.N), "open-ms")
	})
}

// fill commits n changes in batches.
func fill(b *testing.B, site []*instance, from, n int) {
	c := client.New(addressesOf(site), client.NewHTTPClient())
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	const batch = 500
	for i := from; i < from+n; i += batch {
		list := make([]model.Envelope, min(batch, from+n-i))
		for k := range list {
			list[k] = announce(i + k)
		}
		results, err := c.Propose(ctx, list)
		assert.NilError(b, err)
		assert.Assert(b, results[0].Code.OK(), "%v", results[0])
	}
}

// BenchmarkFailover measures the time from the stop of the leader to the next
// commit through a client that is not told about the stop.
func BenchmarkFailover(b *testing.B) {
	settings := siteSettings(b, 3)
	var site []*instance
	for i := range settings {
		settings[i].Dial = slowDial(1500 * time.Microsecond)
		site = append(site, start(b, settings[i]))
	}
	c := client.New(addressesOf(site), client.NewHTTPClient())
	propose := func(n int) {
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		results, err := c.Propose(ctx, []model.Envelope{announce(n)})
		assert.NilError(b, err)
		assert.Assert(b, results[0].Code == result.OK || results[0].Code == result.Unchanged, "%v", results[0])
	}
	propose(0)
	var times []time.Duration
	for n := range b.N {
		old := leaderOf(b, site)
		startedAt := time.Now()
		old.stop()
		propose(n + 1)
		times = append(times, time.Since(startedAt))
		i := slices.Index(site, old)
		site[i] = start(b, settings[i])
		eventually(b, site[i].Replica, "return", func() bool { return applied(site[i]) >= n+2 })
	}
	slices.Sort(times)
	b.ReportMetric(quantile(times, 0.5), "p50-ms")
	b.ReportMetric(quantile(times, 1), "max-ms")
}

// countingConn counts the payload bytes and the reads and writes of a connection.
type countingConn struct {
	net.Conn
	bytes, packets *atomic.Int64
}

func (c countingConn) Write(p []byte) (int, error) {
	c.bytes.Add(int64(len(p)))
	c.packets.Add(1)
	return c.Conn.Write(p)
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	c.packets.Add(1)
	return n, err
}

// headerBytes is the size of the IPv4 and TCP headers, with TCP timestamps.
const headerBytes = 52

// BenchmarkIdle measures the bytes per second that an idle replica sends and
// receives. The bytes of a connection are counted where it was dialled, for both of
// its ends. Headers are counted once for each read and write.
func BenchmarkIdle(b *testing.B) {
	for _, size := range []int{3, 7} {
		b.Run(fmt.Sprintf("replicas=%d", size), func(b *testing.B) { benchmarkIdle(b, size) })
	}
}

// processorTime returns the user and system CPU time of this process.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func benchmarkIdle(b *testing.B, size int) {
	settings := siteSettings(b, size)
	type traffic struct{ bytes, packets atomic.Int64 }
	counts := map[string]*traffic{} // by address, both ends of each connection
	for _, s := range settings {
		counts[s.Address] = &traffic{}
	}
	var site []*instance
	for _, s := range settings {
		own := counts[s.Address]
		s.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			peer := counts[address]
			return countingConn{countingConn{conn, &own.bytes, &own.packets}, &peer.bytes, &peer.packets}, nil
		}
		site = append(site, start(b, s))
	}
	commit(b, site, 0, 10)
	leader := leaderOf(b, site)
	time.Sleep(2 * time.Second) // until the traffic of the election is over
	before := map[string][2]int64{}
	for a, c := range counts {
		before[a] = [2]int64{c.bytes.Load(), c.packets.Load()}
	}
	cpu := processorTime(b)
	b.ResetTimer()
	for range b.N {
		time.Sleep(time.Second)
	}
	b.StopTimer()
	b.ReportMetric(100*(processorTime(b)-cpu).Seconds()/b.Elapsed().Seconds()/float64(size), "mean-core-%/replica")
	for _, i := range site {
		c, role := counts[i.settings.Address], "follower"
		if i == leader {
			role = "leader"
		}
		bytes := float64(c.bytes.Load() - before[i.settings.Address][0])
		packets := float64(c.packets.Load() - before[i.settings.Address][1])
		b.ReportMetric(bytes/b.Elapsed().Seconds(), role+"-B/s")
		b.ReportMetric((bytes+headerBytes*packets)/b.Elapsed().Seconds(), role+"-with-headers-B/s")
	}
}
