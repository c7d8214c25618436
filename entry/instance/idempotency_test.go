package instance

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// countRuns returns a target that counts its requests and answers after the delay
// with the number of the request.
func countRuns(runs *atomic.Int32, delay time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		n := runs.Add(1)
		time.Sleep(delay)
		fmt.Fprintf(w, "run %d", n)
	}
}

// Guards against a charge that runs twice because copies with the same key arrive
// at two entry instances at the same time.
func TestConcurrentResendsRunOnce(t *testing.T) {
	control := newControl(config(), instances(2)...)
	a, b := startEntry(t, control, "e1", nil), startEntry(t, control, "e2", nil)
	var runs atomic.Int32
	a.target(t, "t1", countRuns(&runs, 30*time.Millisecond))
	a.target(t, "t2", countRuns(&runs, 30*time.Millisecond))
	b.waitUntil(t, func() bool { return b.Source.View().Traffic.Targets.Len() == 2 })
	for n := range 5 {
		runs.Store(0)
		key := keyAt(time.Now(), n)
		var wg sync.WaitGroup
		var done, busy atomic.Int32
		for i := range 8 {
			wg.Go(func() {
				s := []*testEntry{a, b}[i%2]
				switch r := s.call(t, http.MethodPost, "/charge", "5", "Idempotency-Key", key); r.result {
				case "0", "3":
					done.Add(1)
					assert.Check(t, r.body == "run 1", r.body)
				case "402":
					busy.Add(1)
				default:
					t.Errorf("result %s: %s", r.result, r.body)
				}
			})
		}
		wg.Wait()
		assert.Equal(t, runs.Load(), int32(1))
		assert.Assert(t, done.Load() >= 1)
	}
}

// Guards against a request that runs twice or fails because the answer to its claim
// is lost twice although the claim was committed.
func TestLostAnswerToClaimIsProposedAgain(t *testing.T) {
	control := newControl(config(), instances(1)...)
	s := startEntry(t, control, "e1", nil)
	var runs atomic.Int32
	s.target(t, "t1", countRuns(&runs, 0))
	var lost atomic.Int32
	control.setHook(func(_ int, apply func() []result.Result) ([]result.Result, error) {
		out := apply()
		if lost.Add(1) <= 2 {
			return nil, errors.New("answer lost")
		}
		return out, nil
	})
	r := s.call(t, http.MethodPost, "/charge", "5", "Idempotency-Key", keyAt(time.Now(), 1))
	assert.Equal(t, r.result, "0", r.body)
	assert.Equal(t, runs.Load(), int32(1))
}

// Guards against the outcome "not-run" for a request that could still run because
// its claim may be committed late, and against a key that stays in progress
// for ever. The answers to all proposals are lost until the deadline has passed.
func TestUncertainClaimIsNotSentAndCanBeTriedAgain(t *testing.T) {
	control := newControl(config(), instances(1)...)
	s := startEntry(t, control, "e1", nil)
	var runs atomic.Int32
	s.target(t, "t1", countRuns(&runs, 0))
	var down atomic.Bool
	down.Store(true)
	control.setHook(func(_ int, apply func() []result.Result) ([]result.Result, error) {
		out := apply()
		if down.Load() {
			return nil, errors.New("answer lost")
		}
		return out, nil
	})
	key := keyAt(time.Now(), 1)
	r := s.call(t, http.MethodPost, "/charge", "5", "Idempotency-Key", key, "Lacewingturn-Timeout-Ms", "200")
	assert.Equal(t, r.outcome, "not-run", r.body)
	assert.Equal(t, runs.Load(), int32(0))
	down.Store(false)
	s.waitUntil(t, func() bool {
		c, ok := control.claim(model.RequestID(key), "anonymous")
		return ok && c.Phase == model.ClaimNotRun
	})
	r = s.call(t, http.MethodPost, "/charge", "5", "Idempotency-Key", key)
	assert.Equal(t, r.outcome, "done", r.body)
	assert.Equal(t, runs.Load(), int32(1))
}

// Guards against a charge that runs without a claim while the control replicas have
// no quorum, and against idempotent requests that fail for that reason.
func TestNoQuorumRefusesClaims(t *testing.T) {
	control := newControl(config(), instances(1)...)
	s := startEntry(t, control, "e1", nil)
	var runs atomic.Int32
	s.target(t, "t1", countRuns(&runs, 0))
	control.setHook(func(int, func() []result.Result) ([]result.Result, error) {
		return []result.Result{{Code: result.NoQuorum}}, nil
	})
	r := s.call(t, http.MethodPost, "/charge", "5", "Idempotency-Key", keyAt(time.Now(), 1), "Lacewingturn-Timeout-Ms", "200")
	assert.Equal(t, r.result, "106", r.body)
	assert.Equal(t, r.outcome, "not-run")
	assert.Equal(t, runs.Load(), int32(0))
	assert.Equal(t, s.call(t, http.MethodGet, "/", "").outcome, "done", "idempotent requests must not need a quorum")
}

// Guards against a charge that runs twice because the connection broke after the
// target had read the request, when it may already run.
func TestBrokenConnectionIsUnknownAndNotRepeated(t *testing.T) {
	control := newControl(config(), instances(2)...)
	s := startEntry(t, control, "e1", nil)
	var seen atomic.Int32
	for _, id := range []string{"t1", "t2"} {
		s.rawTarget(t, id, func(_ int, c net.Conn) {
			if readRequest(c) != "" {
				seen.Add(1)
			}
			c.Close()
		})
	}
	key := keyAt(time.Now(), 1)
	r := s.call(t, http.MethodPost, "/charge", "", "Idempotency-Key", key)
	assert.Equal(t, r.outcome, "unknown", r.body)
	s.waitUntil(t, func() bool {
		c, ok := control.claim(model.RequestID(key), "anonymous")
		return ok && c.Phase == model.ClaimLost
	})
	r = s.call(t, http.MethodPost, "/charge", "", "Idempotency-Key", key)
	assert.Equal(t, r.result, "404", r.body)
	assert.Equal(t, r.outcome, "unknown")
	assert.Equal(t, seen.Load(), int32(1))
}

// Guards against a charge that runs twice because net/http repeats a request with
// an Idempotency-Key by itself when a persistent connection breaks.
func TestTransportDoesNotRepeatCharges(t *testing.T) {
	control := newControl(config(), instances(1)...)
	s := startEntry(t, control, "e1", nil)
	var charges atomic.Int32
	s.rawTarget(t, "t1", func(_ int, c net.Conn) {
		defer c.Close()
		for {
			request := readRequest(c)
			if request == "" {
				return
			}
			if strings.HasPrefix(request, "POST") {
				charges.Add(1)
				return // closes the persistent connection after the request was read
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	assert.Equal(t, s.call(t, http.MethodGet, "/", "").outcome, "done")
	r := s.call(t, http.MethodPost, "/charge", "", "Idempotency-Key", keyAt(time.Now(), 1))
	assert.Equal(t, r.outcome, "unknown", r.body)
	assert.Equal(t, charges.Load(), int32(1))
}

// Guards against a charge that runs twice because its key is older than the
// retention of 15 minutes, so that its claim may have been deleted.
func TestExpiredKeyIsRefused(t *testing.T) {
	s := startEntry(t, newControl(config(), instances(1)...), "e1", nil)
	var runs atomic.Int32
	s.target(t, "t1", countRuns(&runs, 0))
	r := s.call(t, http.MethodPost, "/charge", "", "Idempotency-Key", keyAt(time.Now().Add(-16*time.Minute), 1))
	assert.Equal(t, r.result, "401", r.body)
	assert.Equal(t, r.outcome, "not-run")
	assert.Equal(t, runs.Load(), int32(0))
}

// Guards against a resent charge that runs again after the entry instance that
// holds its claim was lost before it recorded an outcome.
func TestLostClaimantIsUnknown(t *testing.T) {
	control := newControl(config(), instances(1)...)
	s := startEntry(t, control, "e1", nil)
	var runs atomic.Int32
	s.target(t, "t1", countRuns(&runs, 0))
	key := keyAt(time.Now(), 1)
	probe := s.call(t, http.MethodPost, "/charge", "5", "Idempotency-Key", key)
	c, _ := control.claim(model.RequestID(key), "anonymous")
	assert.Equal(t, probe.outcome, "done")
	other := keyAt(time.Now(), 2)
	_, err := control.Propose(context.Background(), []model.Envelope{{Command: model.JoinEntry{ID: "gone", Address: "127.0.0.1:1"}}})
	assert.NilError(t, err)
	control.update(func(st *model.State) {
		st.Claims = st.Claims.Set(model.MakeClaimKey(model.RequestID(other), "anonymous"), model.Claim{
			Key: model.MakeClaimKey(model.RequestID(other), "anonymous"), Fingerprint: c.Fingerprint, Entry: "gone", EntryEpoch: 1,
			Attempt: "x", Phase: model.ClaimPending, IssuedAt: model.TimestampOf(time.Now()),
		})
		st.Entries = st.Entries.Delete("gone")
	})
	r := s.call(t, http.MethodPost, "/charge", "5", "Idempotency-Key", other)
	assert.Equal(t, r.result, "404", r.body)
	assert.Equal(t, r.outcome, "unknown")
	assert.Equal(t, runs.Load(), int32(1))
}

// Guards against an outcome that is not recorded because the caller closed its
// connection before the target answered.
func TestChargeIsRecordedWhenCallerGoesAway(t *testing.T) {
	control := newControl(config(), instances(1)...)
	s := startEntry(t, control, "e1", nil)
	var runs atomic.Int32
	s.target(t, "t1", countRuns(&runs, 100*time.Millisecond))
	key := keyAt(time.Now(), 1)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.server.URL+"/services/orders/charge", strings.NewReader("5"))
	assert.NilError(t, err)
	req.Header.Set("Idempotency-Key", key)
	_, err = s.server.Client().Do(req)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	s.waitUntil(t, func() bool {
		c, ok := control.claim(model.RequestID(key), "anonymous")
		return ok && c.Phase == model.ClaimDone
	})
	r := s.call(t, http.MethodPost, "/charge", "5", "Idempotency-Key", key)
	assert.Equal(t, r.result, "3")
	assert.Equal(t, r.body, "run 1")
}

// Guards against a charge whose outcome is never recorded, because the content type of its
// answer is no text that can be stored: a resend would get "unknown".
func TestUnreadableContentTypeIsNotRecorded(t *testing.T) {
	control := newControl(config(), instances(1)...)
	s := startEntry(t, control, "e1", nil)
	s.target(t, "t1", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/\xff\xfe")
		fmt.Fprint(w, "charged")
	})
	key := keyAt(time.Now(), 1)
	assert.Equal(t, s.call(t, http.MethodPost, "/charge", "5", "Idempotency-Key", key).outcome, "done")
	s.waitUntil(t, func() bool {
		c, ok := control.claim(model.RequestID(key), "anonymous")
		return ok && c.Phase == model.ClaimDone
	})
	r := s.call(t, http.MethodPost, "/charge", "5", "Idempotency-Key", key)
	assert.Equal(t, r.result, "3", r.body)
	assert.Equal(t, r.body, "charged")
}

// Guards against the name of a caller that cannot be stored and would be proposed to the
// leader, in one batch with the claims of other callers.
func TestUnreadableCallerIsRefused(t *testing.T) {
	control := newControl(config(), instances(1)...)
	s := startEntry(t, control, "e1", nil)
	proposals := control.proposals
	r := s.call(t, http.MethodPost, "/charge", "5", "Idempotency-Key", keyAt(time.Now(), 1), "Lacewingturn-Caller", "c\xff")
	assert.Equal(t, r.result, "100", r.body)
	assert.Equal(t, r.outcome, "not-run")
	control.mu.Lock()
	defer control.mu.Unlock()
	assert.Equal(t, control.proposals, proposals)
}
