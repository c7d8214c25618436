package capacity

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/api/codec"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/query"
)

// sizes returns the sizes whose measurements give the cost per worker (the slope of a
// line fit) in docs/CAPACITY.md, by the name of the sub-benchmark.
func sizes() map[string]Size {
	out := map[string]Size{}
	for _, workers := range []int{50, 180, 360, 720} {
		s := TargetSize
		s.Workers, s.Claims, s.Jobs = workers, 0, 0
		out[fmt.Sprintf("workers=%d", workers)] = s
	}
	return out
}

// Guards against benchmarks that measure a smaller state than they state, because
// Build left out instances, targets, claims or jobs.
func TestBuild(t *testing.T) {
	for _, s := range []Size{CurrentSize, TargetSize} {
		state := s.Build().State
		assert.Equal(t, state.Instances.Len(), s.Workers)
		assert.Equal(t, state.Targets.Len(), s.Workers)
		assert.Equal(t, state.Claims.Len(), s.Claims)
		assert.Equal(t, state.Jobs.Len(), s.Jobs)
	}
}

// BenchmarkSnapshot measures the size of a snapshot and the time to encode it.
func BenchmarkSnapshot(b *testing.B) {
	all := sizes()
	for _, claims := range []int{10_000, 50_000, 200_000} {
		s := TargetSize
		s.Claims, s.Jobs = claims, 0
		all[fmt.Sprintf("workers=720/claims=%d", claims)] = s
	}
	s := TargetSize
	s.Claims, s.Jobs = 0, 10_000
	all["workers=720/jobs=10000"] = s
	for name, size := range all {
		b.Run(name, func(b *testing.B) {
			state := size.Build().State
			var n int
			for b.Loop() {
				data, err := codec.EncodeState(state)
				if err != nil {
					b.Fatal(err)
				}
				n = len(data)
			}
			b.ReportMetric(float64(n), "bytes/snapshot")
		})
	}
}

// BenchmarkMemory measures the heap that one control state occupies.
func BenchmarkMemory(b *testing.B) {
	all := sizes()
	s := TargetSize
	s.Claims, s.Jobs = 50_000, 0
	all["workers=720/claims=50000"] = s
	s.Claims, s.Jobs = 0, 10_000
	all["workers=720/jobs=10000"] = s
	for name, size := range all {
		b.Run(name, func(b *testing.B) {
			var kept float64
			for b.Loop() {
				before := heapInUse()
				state := size.Build().State
				kept = float64(heapInUse()) - float64(before)
				runtime.KeepAlive(state)
			}
			b.ReportMetric(kept, "heap-bytes")
		})
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkTraffic measures the size of an entry instance's traffic view, and the
// size and encoding time of the delta for one changed target.
func BenchmarkTraffic(b *testing.B) {
	for name, size := range sizes() {
		b.Run(name, func(b *testing.B) {
			builder := size.Build()
			before := query.TrafficOf(builder.State)
			builder.Apply(model.AnnounceTarget{Target: target(3, size.Services, 2)})
			after := query.TrafficOf(builder.State)
			var delta, view []byte
			for b.Loop() {
				delta, _ = codec.EncodeDelta(query.DiffTraffic(before, after))
			}
			view, _ = codec.EncodeTraffic(after)
			b.ReportMetric(float64(len(view)), "bytes/view")
			b.ReportMetric(float64(len(delta)), "bytes/delta")
		})
	}
}

// BenchmarkAcceptConfig measures the time to apply one configuration change, its
// size in the log, and the size of the delta sent to each entry instance.
func BenchmarkAcceptConfig(b *testing.B) {
	for name, size := range sizes() {
		b.Run(name, func(b *testing.B) {
			builder := size.Build()
			config := size.Config()
			n := 0
			before := query.TrafficOf(builder.State)
			for b.Loop() {
				n++
				config.Services[0].Timeout = time.Duration(n) * time.Millisecond
				builder.apply(model.Envelope{RequestID: RequestID(start, n), Time: start, Actor: "operator", Command: model.AcceptConfig{Base: builder.State.Revision, Config: config}})
			}
			after := query.TrafficOf(builder.State)
			delta, _ := codec.EncodeDelta(query.DiffTraffic(before, after))
			log, _ := codec.EncodeEnvelope(model.Envelope{Command: model.AcceptConfig{Config: config}})
			b.ReportMetric(float64(len(delta)), "bytes/delta")
			b.ReportMetric(float64(len(log)), "bytes/entry")
		})
	}
}

// BenchmarkApplyClaim measures the time to apply the two commands of one
// non-idempotent request, the claim and its outcome.
func BenchmarkApplyClaim(b *testing.B) {
	for _, claims := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("claims=%d", claims), func(b *testing.B) {
			s := CurrentSize
			s.Claims, s.Jobs = claims, 0
			builder := s.Build()
			config := s.Config()
			config.Limits.MaxClaims = 100_000_000
			builder.apply(model.Envelope{RequestID: RequestID(start, 1), Time: start, Command: model.AcceptConfig{Base: 1, Config: config}})
			n := claims
			for b.Loop() {
				builder.claim(n)
				n++
			}
		})
	}
}
