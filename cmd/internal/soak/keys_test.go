package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"lacewingturn.example/platform/standin"
)

// steadyKey holds in all versions of the configuration.
const steadyKey = "steady-key"

// accountsOf returns the client accounts of a version: one with the steady key, and one
// whose key holds in this version only.
func accountsOf(version int64) []standin.Account {
	return []standin.Account{
		{Name: "steady", Keys: []string{steadyKey}, Weight: 10}, {Name: "rotating", Keys: []string{keyOfVersion(version)}, Weight: 1},
	}
}

func keyOfVersion(version int64) string { return fmt.Sprintf("key-of-version-%d", version) }

// tryWithdrawnKey submits a workload with the key of a version that is no longer in force.
// It must not be accepted, whichever process takes the call; the checker reports a task of
// it that starts.
func (t *traffic) tryWithdrawnKey(version int64, rng *rand.Rand) {
	probe := newProbe(rng)
	probe.Key = keyOfVersion(version)
	w := t.checker.recordWorkload(probe)
	t.checker.recordSubmission(w, false, true)
	for end := time.Now().Add(retryPause); time.Now().Before(end); {
		status, _ := t.caller.Submit(t.t.Context(), t.entryAddress(rng), w.Workload) // an error leaves status 0
		switch status {
		case http.StatusOK:
			t.t.Errorf("CONFIG: job %s was accepted with the key of version %d after %d was acknowledged", w.ID, version, t.newest.Load())
			return
		case http.StatusUnauthorized:
			return
		}
	}
}
