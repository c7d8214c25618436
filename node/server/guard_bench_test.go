package server

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

// BenchmarkGuardedRequest measures a small request with a body, with and without a guard.
func BenchmarkGuardedRequest(b *testing.B) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := ReadJSON(r, 1<<20)
		_, _ = w.Write(body)
	})
	guard := NewGuard(NewBudget(0, 0), prometheus.NewRegistry(), zap.NewNop())
	for name, options := range map[string]Options{"without": {HTTP1Only: true}, "with": {HTTP1Only: true, Guard: guard}} {
		b.Run(name, func(b *testing.B) {
			s, err := ListenWith("127.0.0.1:0", handler, options)
			if err != nil {
				b.Fatal(err)
			}
			s.Start()
			defer s.Close()
			b.ReportAllocs()
			for b.Loop() {
				resp, err := http.Post("http://"+s.Address(), "application/json", strings.NewReader(`{"spec":"x"}`))
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
		})
	}
}
