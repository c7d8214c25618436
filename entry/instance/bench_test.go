package instance

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

const (
	benchTargets = 12
	benchClients = 64
)

func writeTicket(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, `{"ticket":"a-4711","state":"open","items":["boots","soles"],"price":1250}`)
}

// benchPaths runs the same benchmark with calls to a target directly, through the
// reverse proxy of the standard library, and through an entry instance.
func benchPaths(b *testing.B, run func(b *testing.B, c *http.Client, url string)) {
	cfg := config()
	cfg.Services[0].QueueLimit = 1000
	s := startEntry(b, newControl(cfg, instances(benchTargets)...), "e1", nil)
	var backs []*url.URL
	for i := range benchTargets {
		back := s.target(b, fmt.Sprintf("t%d", i+1), writeTicket)
		u, _ := url.Parse(back.URL)
		backs = append(backs, u)
	}
	s.sendHeartbeats(b, benchTargets)
	var next atomic.Uint64
	proxy := &httputil.ReverseProxy{
		Rewrite:   func(r *httputil.ProxyRequest) { r.SetURL(backs[next.Add(1)%benchTargets]) },
		Transport: &http.Transport{MaxIdleConnsPerHost: 12, DisableCompression: true},
	}
	front := httptest.NewServer(proxy)
	defer front.Close()
	for _, path := range []struct{ name, url string }{
		{"direct", backs[0].String() + "/"},
		{"reverse-proxy", front.URL + "/"},
		{"entry", s.server.URL + "/services/" + string(service) + "/"},
	} {
		b.Run(path.name, func(b *testing.B) {
			c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchClients}}
			run(b, c, path.url)
		})
	}
}

func get(b *testing.B, c *http.Client, url string) {
	resp, err := c.Get(url)
	if err != nil {
		b.Error(err)
		return
	}
	body, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	if err != nil || resp.StatusCode != 200 {
		b.Errorf("%d %s %v", resp.StatusCode, body, err)
	}
}

// BenchmarkThroughput measures requests per second with 6 concurrent callers for
// each unit of GOMAXPROCS, which is about 64 callers on ten processors.
func BenchmarkThroughput(b *testing.B) {
	benchPaths(b, func(b *testing.B, c *http.Client, url string) {
		get(b, c, url)
		b.ReportAllocs()
		b.SetParallelism(max(benchClients/10, 1))
		b.ResetTimer()
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				get(b, c, url)
			}
		})
		b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
	})
}

// BenchmarkLatency measures the time of a request with one caller.
func BenchmarkLatency(b *testing.B) {
	benchPaths(b, func(b *testing.B, c *http.Client, url string) {
		get(b, c, url)
		b.ReportAllocs()
		b.ResetTimer()
		for range b.N {
			get(b, c, url)
		}
	})
}

// sendHeartbeats sends heartbeats of the targets t1 to tN every 500 ms until the
// test ends.
func (s *testEntry) sendHeartbeats(t testing.TB, n int) {
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go func() {
		ticker := time.NewTicker(500 * time.Millisecond)
		defer ticker.Stop()
		for sequence := 1; ; sequence++ {
			for i := range n {
				resp, err := s.server.Client().Post(fmt.Sprintf("%s/targets/t%d/heartbeat", s.server.URL, i+1), "application/json",
					strings.NewReader(fmt.Sprintf(`{"generation":1,"sequence":%d,"running":[]}`, sequence)))
				if err == nil {
					resp.Body.Close()
				}
			}
			select {
			case <-ticker.C:
			case <-done:
				return
			}
		}
	}()
}
