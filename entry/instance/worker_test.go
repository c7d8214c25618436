package instance

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/command/job"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	workercommand "lacewingturn.example/entry/command/worker"
	workerquery "lacewingturn.example/entry/query/worker"
)

// jobControl returns a control state with two workers and the jobs placed on w1.
func jobControl(t *testing.T, jobs ...model.JobID) *fakeControl {
	t.Helper()
	size := model.Resources{MilliCPU: 8000, MemoryMB: 8000}
	control := newControl(config(), model.Instance{ID: "w1", Pool: "p", Phase: model.PhaseActive, Capacity: size},
		model.Instance{ID: "w2", Pool: "p", Phase: model.PhaseActive, Capacity: size})
	for _, id := range jobs {
		control.commit(t, model.SubmitJob{Job: model.Job{ID: id, Pool: "p", Declared: model.Resources{MilliCPU: 1000, MemoryMB: 1000}}},
			model.PlaceJob{ID: id, Worker: "w1"})
	}
	return control
}

// commit applies commands and fails the test if one is refused. It bypasses the hook.
func (f *fakeControl) commit(t *testing.T, commands ...model.Command) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range commands {
		r := f.apply([]model.Envelope{{Actor: "test", Command: c}})[0]
		assert.Assert(t, r.Code.OK(), r.Error())
	}
}

func (f *fakeControl) job(id model.JobID) model.Job {
	f.mu.Lock()
	defer f.mu.Unlock()
	j, _ := f.state.Jobs.Get(id)
	return j
}

// poll asks for the assignments of a worker; it returns when they are newer than
// the index.
func (s *testEntry) poll(t *testing.T, worker string, index model.Index) workerquery.Response {
	t.Helper()
	resp, err := s.server.Client().Get(fmt.Sprintf("%s/workers/%s/assignments?index=%d", s.server.URL, worker, index))
	assert.NilError(t, err)
	defer resp.Body.Close()
	var a workerquery.Response
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&a))
	assert.Equal(t, resp.StatusCode, a.Code.Info().HTTP)
	return a
}

// report sends a report of a worker and returns the answer.
func (s *testEntry) report(t *testing.T, worker, body string) workercommand.Response {
	t.Helper()
	resp, err := s.server.Client().Post(s.server.URL+"/workers/"+worker+"/reports", "application/json", strings.NewReader(body))
	assert.NilError(t, err)
	defer resp.Body.Close()
	var a workercommand.Response
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&a))
	assert.Equal(t, resp.StatusCode, a.Code.Info().HTTP)
	return a
}

// Guards against an assignment, start, usage, cancellation or end of a job that is
// lost between a worker and the control state when the worker uses different entry
// instances for its polls and reports.
func TestWorkerRunsAJobThroughAnyEntryInstance(t *testing.T) {
	control := jobControl(t, "a")
	first, second := startEntry(t, control, "e1", nil), startEntry(t, control, "e2", nil)
	first.reports.Stop() // reports are committed at once instead of in batches
	a := first.poll(t, "w1", 0)
	assert.Equal(t, len(a.Assignments), 1)
	got := a.Assignments[0]
	assert.DeepEqual(t, got, workerquery.Assignment{Job: "a", Token: got.Token, MilliCPU: 1000, MemoryMB: 1000, Action: "run"})
	one := fmt.Sprintf(`"job":"a","token":%d`, got.Token)

	r := second.report(t, "w1", `{"started":[{`+one+`}]}`)
	assert.DeepEqual(t, r, workercommand.Response{
		Name: "ok", LeaseMs: job.MinLeaseDuration.Milliseconds(), NextReportMs: 15000, UsageShare: 8,
		Jobs: []workercommand.JobResult{{Job: "a", Token: got.Token, Name: "ok"}},
	})
	first.report(t, "w1", `{"usage":[{`+one+`,"milli_cpu":1500,"memory_mb":700,"checkpoint":"step-3"}]}`)
	assert.Equal(t, control.job("a").Checkpoint, "step-3")
	assert.Equal(t, control.job("a").Used, model.Resources{MilliCPU: 1500, MemoryMB: 700})

	polled := make(chan workerquery.Response)
	go func() { polled <- second.poll(t, "w1", a.Index) }()
	control.commit(t, model.CancelJob{ID: "a"})
	a = <-polled
	assert.Equal(t, a.Assignments[0].Action, "cancel")
	assert.Equal(t, first.report(t, "w1", `{"held":[{`+one+`}]}`).Jobs[0].Action, "cancel")
	r = first.report(t, "w1", `{"ended":[{`+one+`,"outcome":"stopped","run_ms":10}]}`)
	assert.Equal(t, r.Jobs[0].Code, result.Accepted)
	assert.Equal(t, control.job("a").Phase, model.JobCancelled)
	assert.Equal(t, len(first.poll(t, "w1", a.Index).Assignments), 0)
}

// Guards against a worker whose lease has expired and whose late report changes the
// job that another worker runs now, or that is not told to stop the job.
func TestLateReportUnderAnOldTokenIsRefused(t *testing.T) {
	control := jobControl(t, "a")
	s := startEntry(t, control, "e1", nil)
	s.reports.Stop() // reports are committed at once instead of in batches
	old := control.job("a").Lease.Token
	control.update(func(st *model.State) { st.Clock = st.Clock.Add(job.MinLeaseDuration) })
	control.commit(t, model.ExpireLease{ID: "a", Token: old}, model.PlaceJob{ID: "a", Worker: "w2"})
	second := control.job("a")
	assert.Assert(t, second.Lease.Token > old)
	one := fmt.Sprintf(`[{"job":"a","token":%d}]`, old)
	for _, body := range []string{
		`{"held":` + one + `}`, `{"started":` + one + `}`, `{"usage":` + one + `}`,
		fmt.Sprintf(`{"ended":[{"job":"a","token":%d,"outcome":"succeeded"}]}`, old),
	} {
		r := s.report(t, "w1", body)
		assert.Equal(t, r.Code, result.OK)
		assert.DeepEqual(t, r.Jobs, []workercommand.JobResult{{Job: "a", Token: old, Code: result.StaleToken, Name: "stale-token", Action: "stop"}})
	}
	assert.Equal(t, control.job("a"), second)
	assert.Equal(t, s.report(t, "unknown", `{}`).Code, result.NotFound)
	assert.Equal(t, s.report(t, "w1", `{"x":1}`).Code, result.InvalidInput)
}

// Guards against a resent report that takes effect twice because the first answer
// was lost after the commit, and against one that has no effect because the first
// was not committed for lack of a quorum.
func TestReportIsRepeatedAfterALostAnswer(t *testing.T) {
	control := jobControl(t, "a", "b")
	first, second := startEntry(t, control, "e1", nil), startEntry(t, control, "e2", nil)
	body := fmt.Sprintf(`{"ended":[{"job":"a","token":%d,"outcome":"failed","reason":"crashed"}],"started":[{"job":"b","token":%d}]}`,
		control.job("a").Lease.Token, control.job("b").Lease.Token)
	control.setHook(func(_ int, apply func() []result.Result) ([]result.Result, error) {
		return []result.Result{{Code: result.NoQuorum}}, nil
	})
	r := first.report(t, "w1", body)
	assert.Equal(t, r.Code, result.NoQuorum)
	assert.Equal(t, r.NextReportMs, int64(1000))
	assert.Equal(t, control.job("a").Phase, model.JobLeased)
	control.setHook(func(_ int, apply func() []result.Result) ([]result.Result, error) {
		apply()
		return []result.Result{{Code: result.Unknown}}, nil
	})
	assert.Equal(t, first.report(t, "w1", body).Code, result.Unknown)
	a, b := control.job("a"), control.job("b")
	assert.Equal(t, a.Phase, model.JobQueued)
	assert.Equal(t, b.Phase, model.JobRunning)
	control.setHook(nil)
	r = second.report(t, "w1", body)
	assert.Equal(t, r.Code, result.OK)
	assert.Equal(t, control.job("a"), a, "the failure is counted once")
	assert.Equal(t, control.job("b").StartedAt, b.StartedAt)
}

// Guards against a job with no outcome or two outcomes when its cancellation races
// with the end that the worker reports.
func TestCancellationRacingWithTheEndHasOneOutcome(t *testing.T) {
	for range 20 {
		control := jobControl(t, "a")
		s := startEntry(t, control, "e1", nil)
		ended := make(chan workercommand.Response)
		go func() {
			ended <- s.report(t, "w1", fmt.Sprintf(`{"ended":[{"job":"a","token":%d,"outcome":"succeeded"}]}`, control.job("a").Lease.Token))
		}()
		results, err := control.Propose(t.Context(), []model.Envelope{{Command: model.CancelJob{ID: "a"}}})
		assert.NilError(t, err)
		assert.Equal(t, (<-ended).Jobs[0].Code, result.Accepted)
		assert.Equal(t, control.job("a").Phase, model.JobDone)
		assert.Assert(t, results[0].Code == result.Accepted || results[0].Code == result.JobFinished, results[0].Error())
	}
}

// Guards against a graceful shutdown that waits until open polls time out.
func TestShutdownAnswersOpenPolls(t *testing.T) {
	s := startEntry(t, jobControl(t), "e1", nil)
	polled := make(chan workerquery.Response)
	go func() { polled <- s.poll(t, "w1", 0) }()
	s.waitUntil(t, func() bool { return s.gauge(t, "lacewingturn_worker_polls") == 1 })
	assert.NilError(t, s.Stop(t.Context()))
	assert.Equal(t, (<-polled).Code, result.Stopping)
}
