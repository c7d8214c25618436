package instance

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a slow request that is ended before its deadline, or replaced by
// a retry, because its target is taken for one that does not answer.
func TestLongWorkIsNotCutBeforeItsDeadline(t *testing.T) {
	s := startEntry(t, newControl(config(), instances(1)...), "e1", nil)
	s.target(t, "t1", func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(700 * time.Millisecond)
		_, _ = io.WriteString(w, "whole")
	})
	r := s.call(t, http.MethodGet, "/report", "", "Lacewingturn-Timeout-Ms", "1000")
	assert.Equal(t, r.outcome, "done")
	assert.Equal(t, r.body, "whole")
}

// Guards against an idempotent request that misses its deadline although another
// target could answer it, because the first target accepts requests and never
// answers.
func TestSilentTargetIsHedged(t *testing.T) {
	s := startEntry(t, newControl(config(), instances(2)...), "e1", nil)
	end := make(chan struct{})
	t.Cleanup(func() { close(end) })
	var silent atomic.Value // the target that got the first request
	for _, id := range []string{"t1", "t2"} {
		s.target(t, id, func(w http.ResponseWriter, r *http.Request) {
			if silent.CompareAndSwap(nil, id) || silent.Load() == id {
				select {
				case <-end:
				case <-r.Context().Done():
				}
				return
			}
			_, _ = io.WriteString(w, "whole")
		})
	}
	for range 4 {
		r := s.call(t, http.MethodGet, "/work", "", "Lacewingturn-Timeout-Ms", "800")
		assert.Equal(t, r.outcome, "done")
		assert.Equal(t, r.body, "whole")
	}
}

// Guards against a non-idempotent request that is sent to a second target because
// the first one answers slowly.
func TestNonIdempotentWorkIsNotHedged(t *testing.T) {
	s := startEntry(t, newControl(config(), instances(2)...), "e1", nil)
	var runs atomic.Int32
	for _, id := range []string{"t1", "t2"} {
		s.target(t, id, func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				runs.Add(1)
				time.Sleep(600 * time.Millisecond)
			}
			_, _ = io.WriteString(w, "whole")
		})
	}
	r := s.call(t, http.MethodPost, "/charge", "1", "Lacewingturn-Timeout-Ms", "900", "Idempotency-Key", keyAt(time.Now(), 1))
	assert.Equal(t, r.outcome, "done")
	assert.Equal(t, runs.Load(), int32(1))
}
