package worker

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"lacewingturn.example/core/model"
)

// Limits of a report. A report that exceeds one is rejected.
const (
	MaxBytes  = 256 << 10 // length of a body
	MaxJobs   = 256       // entries of each list
	MaxName   = 128       // length of an identifier or checkpoint name in bytes
	MaxReason = 512       // length in bytes
	// MaxRun bounds the run time of a job. It is longer than any job runs and keeps
	// durations from overflowing.
	MaxRun = 10 * 365 * 24 * time.Hour
	// MaxAmount bounds each field of Amounts.
	MaxAmount = 1 << 40
)

// Report is the body of a worker's report. Every list may be left out.
type Report struct {
	Started []Job   `json:"started"`
	Held    []Job   `json:"held"` // jobs that are running and only need their leases renewed
	Usage   []Usage `json:"usage"`
	Ended   []End   `json:"ended"`
}

// isRenewal reports whether the report only renews leases.
func (r Report) isRenewal() bool { return len(r.Started)+len(r.Usage)+len(r.Ended) == 0 }

// Job identifies a job and the fencing token of its lease.
type Job struct {
	Job   model.JobID `json:"job"`
	Token uint64      `json:"token"`
}

// Amounts is the resource usage of a job: thousandths of a CPU, MB of memory and
// number of accelerators.
type Amounts struct {
	MilliCPU     int64 `json:"milli_cpu"`
	MemoryMB     int64 `json:"memory_mb"`
	Accelerators int64 `json:"accelerators"`
}

// Usage is a usage report of one job.
type Usage struct {
	Job
	Amounts
	// Checkpoint is the name of the latest checkpoint; if empty, the recorded one
	// stays.
	Checkpoint string `json:"checkpoint"`
}

// Outcome is how a job ended, as the worker reports it.
type Outcome string

// Outcomes of a job.
const (
	Succeeded Outcome = "succeeded"
	Failed    Outcome = "failed"
	// Stopped means that the job ended because the worker was told to stop it.
	Stopped Outcome = "stopped"
)

// End reports that a job has ended.
type End struct {
	Job
	Amounts
	Outcome Outcome `json:"outcome"`
	RunMs   int64   `json:"run_ms"`
	Reason  string  `json:"reason"`
}

// Decode reads a report and validates its form. The error names the first invalid
// entry of each list.
func Decode(r io.Reader) (Report, error) {
	d := json.NewDecoder(io.LimitReader(r, MaxBytes))
	d.DisallowUnknownFields()
	var out Report
	if err := d.Decode(&out); err != nil {
		return Report{}, fmt.Errorf("body: %w", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return Report{}, fmt.Errorf("body: more than one JSON value, or longer than %d bytes", MaxBytes)
	}
	return out, out.check()
}

func (r Report) check() error {
	return errors.Join(
		checkEach("started", r.Started, func(j Job) error { return j.check() }),
		checkEach("held", r.Held, func(j Job) error { return j.check() }),
		checkEach("usage", r.Usage, func(u Usage) error {
			return errors.Join(u.Job.check(), u.Amounts.check(), checkLength("checkpoint", u.Checkpoint, MaxName))
		}),
		checkEach("ended", r.Ended, func(e End) error { return errors.Join(e.Job.check(), e.Amounts.check(), e.check()) }),
	)
}

// checkEach validates the entries of a list and returns an error that names the
// first invalid one.
func checkEach[T any](field string, list []T, check func(T) error) error {
	if len(list) > MaxJobs {
		return fmt.Errorf("%s: lists %d jobs, at most %d are possible", field, len(list), MaxJobs)
	}
	for i, v := range list {
		if err := check(v); err != nil {
			return fmt.Errorf("%s[%d].%w", field, i, err)
		}
	}
	return nil
}

func (j Job) check() error {
	if j.Job == "" {
		return errors.New("job: is missing")
	}
	if j.Token == 0 {
		return errors.New("token: must be a positive number")
	}
	return checkLength("job", string(j.Job), MaxName)
}

func (a Amounts) check() error {
	for field, v := range map[string]int64{"milli_cpu": a.MilliCPU, "memory_mb": a.MemoryMB, "accelerators": a.Accelerators} {
		if v < 0 || v > MaxAmount {
			return fmt.Errorf("%s: is %d, must be from 0 to %d", field, v, int64(MaxAmount))
		}
	}
	return nil
}

func (e End) check() error {
	switch e.Outcome {
	case Succeeded, Failed, Stopped:
	default:
		return fmt.Errorf("outcome: is %q, must be %q, %q or %q", e.Outcome, Succeeded, Failed, Stopped)
	}
	if e.RunMs < 0 || e.RunMs > MaxRun.Milliseconds() {
		return fmt.Errorf("run_ms: is %d, must be from 0 to %d", e.RunMs, MaxRun.Milliseconds())
	}
	return checkLength("reason", e.Reason, MaxReason)
}

func checkLength(field, v string, limit int) error {
	if len(v) > limit {
		return fmt.Errorf("%s: is longer than %d bytes", field, limit)
	}
	return nil
}

// command converts the report to the command that is committed.
func (r Report) command(worker model.InstanceID) model.ReportWork {
	c := model.ReportWork{Worker: worker}
	for _, j := range r.Started {
		c.Started = append(c.Started, model.JobStarted{ID: j.Job, Token: j.Token})
	}
	for _, j := range r.Held {
		c.Held = append(c.Held, j.Token)
	}
	for _, u := range r.Usage {
		c.Usage = append(c.Usage, model.JobReport{ID: u.Job.Job, Token: u.Token, Used: model.Resources(u.Amounts), Checkpoint: u.Checkpoint})
	}
	for _, e := range r.Ended {
		c.Ended = append(c.Ended, model.JobEnded{
			ID: e.Job.Job, Token: e.Token, Succeeded: e.Outcome == Succeeded, Cancelled: e.Outcome == Stopped,
			Run: time.Duration(e.RunMs) * time.Millisecond, Used: model.Resources(e.Amounts), Reason: e.Reason,
		})
	}
	return c
}

// jobsByToken returns the ID of the job of each fencing token in the report.
func (r Report) jobsByToken() map[uint64]model.JobID {
	out := map[uint64]model.JobID{}
	add := func(j Job) { out[j.Token] = j.Job }
	for _, j := range r.Started {
		add(j)
	}
	for _, j := range r.Held {
		add(j)
	}
	for _, u := range r.Usage {
		add(u.Job)
	}
	for _, e := range r.Ended {
		add(e.Job)
	}
	return out
}
