package platform_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
	"lacewingturn.example/operator/platform"
	"lacewingturn.example/operator/platform/command"
	"lacewingturn.example/operator/platform/query"
)

type fixture struct {
	stub     *platform.Stub
	commands *command.Client
	queries  *query.Client
	restarts atomic.Int32
}

func start(t *testing.T, b platform.StubBehavior) *fixture {
	f := &fixture{}
	f.stub = platform.NewStub([]model.InstanceID{"i1"}, b, func(model.InstanceID) { f.restarts.Add(1) })
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go f.stub.Run(ctx)
	server := httptest.NewServer(f.stub.Handler())
	t.Cleanup(server.Close)
	f.commands, f.queries = command.New(server.URL, server.Client()), query.New(server.URL, server.Client())
	return f
}

var reboot = model.PlatformAction{Kind: model.ActionStartOperation, Instance: "i1", Operation: "i1-op1", OperationKind: model.OperationReboot}

func (f *fixture) state(t *testing.T) model.OperationReport {
	t.Helper()
	r, err := f.queries.Operation(t.Context(), reboot.Operation)
	assert.NilError(t, err)
	return r
}

func (f *fixture) boots(t *testing.T) int32 {
	t.Helper()
	_, err := f.queries.Instance(t.Context(), "i1") // the goroutine of the restart was started before this response
	assert.NilError(t, err)
	for f.restarts.Load() == 0 {
		select {
		case <-t.Context().Done():
			t.Fatal("no restart")
		case <-time.After(time.Millisecond):
		}
	}
	return f.restarts.Load()
}

// Guards against a second reboot for one operation ID. The PUT is delivered twice by
// a proxy that retries, and sent again by a client whose first call timed out.
func TestRepeatedPutRebootsOnce(t *testing.T) {
	f := start(t, platform.StubBehavior{Duplicate: true, ResponseDelay: time.Minute})
	assert.Equal(t, f.state(t).State, model.OperationAbsent)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	assert.Assert(t, errors.Is(f.commands.Start(ctx, reboot), context.DeadlineExceeded))
	assert.Equal(t, f.state(t).State, model.OperationSucceeded)
	assert.NilError(t, f.stub.SetBehavior(t.Context(), platform.StubBehavior{Duplicate: true}))
	assert.NilError(t, f.commands.Start(t.Context(), reboot))
	assert.Equal(t, f.boots(t), int32(1))
}

// Guards against a client that misreads the state of an operation on a platform that
// is slow, fails the operation or is unavailable.
func TestSlowFailingAndUnavailablePlatform(t *testing.T) {
	f := start(t, platform.StubBehavior{OperationDuration: time.Hour})
	assert.NilError(t, f.commands.Start(t.Context(), reboot))
	assert.Equal(t, f.state(t).State, model.OperationRunning)
	up, err := f.queries.Instance(t.Context(), "i1")
	assert.NilError(t, err)
	assert.Assert(t, !up)
	other := reboot
	other.OperationKind = model.OperationDrain
	assert.Assert(t, errors.Is(f.commands.Start(t.Context(), other), platform.ErrConflict))

	f = start(t, platform.StubBehavior{FailReason: "no power"})
	assert.NilError(t, f.commands.Start(t.Context(), reboot))
	assert.DeepEqual(t, f.state(t), model.OperationReport{State: model.OperationFailed, Reason: "no power"})
	assert.NilError(t, f.stub.SetBehavior(t.Context(), platform.StubBehavior{Unavailable: true}))
	_, err = f.queries.Operation(t.Context(), reboot.Operation)
	assert.ErrorContains(t, err, http.StatusText(http.StatusServiceUnavailable))
}
