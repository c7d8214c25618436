package command

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/result"
)

// Guards against an entry instance that resumes after a pause of its process and
// writes a request under an expired slot credit: by then the slot may belong to
// another instance, and the target may have left.
func TestNothingIsWrittenAfterTheCreditHasEnded(t *testing.T) {
	served := 0
	worker := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served++ }))
	defer worker.Close()
	g := &Gateway{pool: &connPool{}}
	d := destination{id: "t1", generation: 1, address: worker.Listener.Addr().String(), slot: "e1.1.1", credit: &creditExpiry{}}
	send := func(method string) (response, sample) {
		return g.exchange(t.Context(), &call{method: method, path: "/"}, d)
	}

	for range 2 { // first on a new connection, then on a reused one
		d.credit.set(time.Now().Add(-time.Millisecond))
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			res, s := send(method)
			assert.Equal(t, res.outcome, result.OutcomeNotRun, "%+v", res)
			assert.Assert(t, !s.kind.abandoned(), "the slot is free again")
		}
		before := served
		d.credit.set(time.Now().Add(time.Minute))
		res, _ := send(http.MethodGet)
		assert.Equal(t, res.outcome, result.OutcomeDone, "%+v", res)
		assert.Equal(t, served, before+1)
	}
}
