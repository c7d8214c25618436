package instance

import (
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
)

// echo answers with the method, URI and body of the request.
func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("Content-Type", "text/plain")
	_, _ = io.WriteString(w, r.Method+" "+r.URL.RequestURI()+" "+string(body))
}

// Guards against a request whose escaped path, query or body is changed on the way
// to the target, and against an answer without its result headers.
func TestRequestReachesTargetUnchanged(t *testing.T) {
	s := startEntry(t, newControl(config(), instances(1)...), "e1", nil)
	s.target(t, "t1", echo)
	r := s.call(t, http.MethodGet, "/a%2Fb/c?x=1&y=%20", "")
	assert.Equal(t, r.status, 200)
	assert.Equal(t, r.body, "GET /a%2Fb/c?x=1&y=%20 ")
	assert.Equal(t, r.result, "0")
	assert.Equal(t, r.outcome, "done")
	r = s.call(t, http.MethodPost, "/quote", "boots")
	assert.Equal(t, r.body, "POST /quote boots")
}

// Guards against requests that are refused without a result code: no target, a
// charge without a key, an invalid timeout.
func TestRefusalsAreNumbered(t *testing.T) {
	s := startEntry(t, newControl(config(), instances(1)...), "e1", nil)
	r := s.call(t, http.MethodGet, "/", "")
	assert.Equal(t, r.result, "405", r.body)
	assert.Equal(t, r.outcome, "not-run")
	assert.Equal(t, r.header.Get("Retry-After"), "1")
	s.target(t, "t1", echo)
	assert.Equal(t, s.call(t, http.MethodPost, "/charge", "").result, "400")
	assert.Equal(t, s.call(t, http.MethodGet, "/", "", "Lacewingturn-Timeout-Ms", "-1").result, "100")
}

// Guards against an instance that reports that it is ready although its last
// contact with the control state is too long ago.
func TestReadiness(t *testing.T) {
	s := startEntry(t, newControl(config(), instances(1)...), "e1", nil)
	ok, _ := s.Source.View().Ready(time.Now())
	assert.Assert(t, ok)
	ok, reason := s.Source.View().Ready(time.Now().Add(3 * time.Second))
	assert.Assert(t, !ok)
	assert.Equal(t, reason, "no contact to the control state for more than 2.5s")
	resp, err := s.server.Client().Get(s.server.URL + "/readyz")
	assert.NilError(t, err)
	resp.Body.Close()
	assert.Equal(t, resp.StatusCode, 200)
}

// Guards against a charge that runs again when it is resent with its key, and
// against the recorded answer for another request that uses the same key.
func TestResendGetsRecordedAnswer(t *testing.T) {
	s := startEntry(t, newControl(config(), instances(1)...), "e1", nil)
	runs := 0
	s.target(t, "t1", func(w http.ResponseWriter, r *http.Request) { runs++; echo(w, r) })
	key := keyAt(time.Now(), 1)
	first := s.call(t, http.MethodPost, "/charge", "5", "Idempotency-Key", key)
	assert.Equal(t, first.body, "POST /charge 5")
	again := s.call(t, http.MethodPost, "/charge", "5", "Idempotency-Key", key)
	assert.Equal(t, again.result, "3")
	assert.Equal(t, again.body, first.body)
	assert.Equal(t, again.header.Get("Content-Type"), "text/plain")
	assert.Equal(t, runs, 1)
	other := s.call(t, http.MethodPost, "/charge", "6", "Idempotency-Key", key)
	assert.Equal(t, other.result, "403")
	s.waitUntil(t, func() bool {
		c, ok := s.control.claim(model.RequestID(key), "anonymous")
		return ok && c.Phase == model.ClaimDone
	})
}

// Guards against requests that are sent to a target whose instance is draining.
func TestDrainedInstanceGetsNothing(t *testing.T) {
	s := startEntry(t, newControl(config(), instances(1)...), "e1", nil)
	s.target(t, "t1", echo)
	s.control.update(func(st *model.State) {
		i, _ := st.Instances.Get("w1")
		i.Phase = model.PhaseDraining
		st.Instances = st.Instances.Set("w1", i)
	})
	assert.Equal(t, s.call(t, http.MethodGet, "/", "").result, "405")
}
