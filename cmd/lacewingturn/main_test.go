package main

import (
	"bytes"
	"context"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"lacewingturn.example/core/command"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/node/server"
	opcommand "lacewingturn.example/operator/command"
	opquery "lacewingturn.example/operator/query"
	"lacewingturn.example/replica"
)

// fakeLeader is a leader without followers that applies each command at once.
type fakeLeader struct{ state atomic.Pointer[model.State] }

func (s *fakeLeader) View() *replica.View {
	return &replica.View{ID: "c1/1", Leader: "c1/1", IsLeader: true, QuorumContact: time.Now(), State: *s.state.Load()}
}

func (s *fakeLeader) Entries() []replica.EntryLiveness { return nil }
func (s *fakeLeader) Observations() model.Observations { return model.Observations{} }

func (s *fakeLeader) Propose(_ context.Context, commands []model.Envelope) ([]result.Result, error) {
	old, env := s.state.Load(), commands[0]
	env.Time = model.TimestampOf(time.Now())
	next, r := command.Apply(*old, old.Index+1, 1, env)
	s.state.Store(&next)
	return []result.Result{r}, nil
}

// startOperatorServer starts an operator interface with an empty state and sets
// LACEWINGTURN_CONTROL to its address.
func startOperatorServer(t *testing.T) *fakeLeader {
	t.Helper()
	leader := &fakeLeader{}
	leader.state.Store(&model.State{})
	mux := http.NewServeMux()
	mux.Handle(opcommand.New(leader, zap.NewNop()).Route())
	mux.Handle(opquery.New(leader, leader, leader, zap.NewNop()).Route())
	srv, err := server.Listen("127.0.0.1:0", mux, nil)
	assert.NilError(t, err)
	srv.Start()
	t.Cleanup(srv.Close)
	t.Setenv("LACEWINGTURN_CONTROL", srv.Address())
	return leader
}

// execute runs a command line without standard input.
func execute(t *testing.T, args ...string) (status int, out, errOut string) {
	t.Helper()
	var o, e bytes.Buffer
	status = run(t.Context(), args, strings.NewReader(""), &o, &e)
	return status, o.String(), e.String()
}

// Guards against a report that names only the first of several wrong settings, or
// leaves out the flag, the environment variable or the reason.
func TestWrongSettingsAreReportedTogether(t *testing.T) {
	t.Setenv("LACEWINGTURN_TIMEOUT", "soon")
	status, _, errOut := execute(t, "status", "--control", "host:1", "--output", "xml", "--cert", "/nowhere/cert.pem", "--wait-timeout", "9h")
	assert.Equal(t, status, result.InvalidInput.Info().Exit)
	for _, want := range []string{
		`--control (LACEWINGTURN_CONTROL) = "host:1": "host" is not an IP number`,
		`--output (LACEWINGTURN_OUTPUT) = "xml": must be one of table, json`,
		`--timeout (LACEWINGTURN_TIMEOUT) = "soon": is not a duration`,
		`--wait-timeout (LACEWINGTURN_WAIT_TIMEOUT) = "9h": must be between`,
		`--cert (LACEWINGTURN_CERT) = "/nowhere/cert.pem": cannot be read`,
	} {
		assert.Assert(t, strings.Contains(errOut, want), "missing %s in\n%s", want, errOut)
	}
}

// Guards against a break anywhere between the command line and the control state:
// writing, checking, planning, accepting and reverting a configuration, then the fleet
// commands, job commands and queries on it.
func TestFirstConfigurationReviseAndRevert(t *testing.T) {
	leader := startOperatorServer(t)
	file := filepath.Join(t.TempDir(), "answers.yaml")
	ok := func(args ...string) string {
		t.Helper()
		status, out, errOut := execute(t, args...)
		assert.Equal(t, status, 0, "%v\n%s%s", args, out, errOut)
		return out
	}
	ok("init", file, "--sample", "karaoke")
	ok("check", file)
	assert.Equal(t, ok("generate", file), ok("generate", file))
	plan := ok("plan", file)
	assert.Assert(t, strings.Contains(plan, "accept "+file+" --base 0 --digest "), plan)
	assert.Assert(t, strings.Contains(ok("accept", file, "--base", "0", "--wait"), "accepted (revision 1)"))

	data, err := os.ReadFile(file)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(file, bytes.Replace(data, []byte("max_step: 2"), []byte("max_step: 1"), 1), 0o600))
	assert.Assert(t, strings.Contains(ok("plan", file), "waves.max_step: 2 -> 1"))
	ok("accept", file, "--base", "1")
	status, _, errOut := execute(t, "accept", file, "--base", "1")
	assert.Equal(t, status, result.Conflicting.Info().Exit)
	assert.Assert(t, strings.Contains(errOut, "revision 2 by"), errOut)
	assert.Assert(t, strings.Contains(ok("revert", "1"), "revision 3"))
	assert.Equal(t, leader.state.Load().Config.Waves.MaxStep, 2)
	history := ok("history")
	assert.Assert(t, strings.Contains(history, "waves.max_step: 1 -> 2"), history)

	ok("drain", "lyrics-east-r1-1")
	status, _, _ = execute(t, "drain", "no-such-instance")
	assert.Equal(t, status, result.NotFound.Info().Exit)
	assert.Equal(t, leader.state.Load().Instances.Len(), 48)
	ok("return", "lyrics-east-r1-1")
	ok("move", "spare-east-r3-1", "--to", "lyrics")
	ok("wave", "start", "tracks", "--id", "w1")
	ok("wave", "pause", "w1", "--reason", "lunch")
	ok("wave", "resume", "w1")
	ok("wave", "cancel", "w1")
	ok("job", "submit", "--pool", "lyrics", "--team", "rights", "--processors", "0.5", "--id", "j1")
	ok("status")
	for want, args := range map[string][]string{
		"headroom": {"pools", "lyrics"}, "cancelled": {"waves"}, "0.5 processors": {"jobs", "j1"}, "have room": {"explain", "job", "j1"},
	} {
		assert.Assert(t, strings.Contains(strings.ToLower(ok(args...)), want), "%v", args)
	}
	status, _, errOut = execute(t, "pools", "no-such-pool")
	assert.Equal(t, status, result.NotFound.Info().Exit)
	assert.Assert(t, strings.Contains(errOut, `not-found (101): no pool "no-such-pool"`), errOut)
	ok("targets")
	assert.Assert(t, strings.Contains(ok("config"), "pools[lyrics].budget.min_available"))
}

// Guards against results that a script cannot tell apart by exit status, and against
// JSON output without the fields that a script needs.
func TestOutputForScripts(t *testing.T) {
	startOperatorServer(t)
	bad := filepath.Join(t.TempDir(), "answers.yaml")
	assert.NilError(t, os.WriteFile(bad, []byte("site: x\ncolour: red\n"), 0o600))
	status, _, errOut := execute(t, "check", bad)
	assert.Equal(t, status, result.ConfigInvalid.Info().Exit)
	assert.Assert(t, strings.Contains(errOut, bad+`:2:1: colour: unknown key "colour"`), errOut)
	status, out, _ := execute(t, "check", bad, "--output", "json")
	assert.Equal(t, status, result.ConfigInvalid.Info().Exit)
	assert.Assert(t, strings.Contains(out, `"column": 1`), out)

	status, out, _ = execute(t, "revert", "9", "--base", "0", "--output", "json")
	assert.Equal(t, status, result.NotFound.Info().Exit)
	assert.Assert(t, strings.Contains(out, `"name": "not-found"`) && strings.Contains(out, `"outcome": "not-run"`), out)
	status, _, _ = execute(t, "job", "submit", "--pool", "p", "--team", "t", "--processors", "many", "--memory", "-1")
	assert.Equal(t, status, result.InvalidInput.Info().Exit)
	status, _, _ = execute(t, "no-such-command")
	assert.Equal(t, status, result.InvalidInput.Info().Exit)
	status, out, _ = execute(t, "--help")
	assert.Equal(t, status, 0)
	assert.Assert(t, strings.Contains(out, "explain"))
	t.Setenv("LACEWINGTURN_CONTROL", "127.0.0.1:1")
	status, _, _ = execute(t, "status", "--timeout", "1s")
	assert.Equal(t, status, result.NoQuorum.Info().Exit)
}

// Guards against a resend that differs from the first attempt, because an ID or a base
// revision that was left out is generated or read again.
func TestResendNeedsTheSameCommand(t *testing.T) {
	id := "01970000-0000-7000-8000-000000000000"
	for _, args := range [][]string{{"move", "i", "--to", "p"}, {"wave", "start", "p"}, {"revert", "1"}, {"job", "submit", "--pool", "p", "--team", "t"}} {
		status, _, errOut := execute(t, append(args, "--request-id", id)...)
		assert.Equal(t, status, result.InvalidInput.Info().Exit, "%v", args)
		assert.Assert(t, strings.Contains(errOut, "of the first attempt"), errOut)
	}
}

// Guards against shell completion that does not list the subcommands.
func TestCompletion(t *testing.T) {
	t.Setenv("COMP_LINE", "lacewingturn wave ")
	status, out, _ := execute(t)
	assert.Equal(t, status, 0)
	assert.Assert(t, strings.Contains(out, "pause") && strings.Contains(out, "resume"), out)
}
