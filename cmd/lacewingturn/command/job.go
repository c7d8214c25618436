package command

import (
	"strconv"
	"time"

	"lacewingturn.example/cmd/lacewingturn/session"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/node/settings"
)

// Job declares the commands on jobs for kong.
type Job struct {
	Submit JobSubmit `cmd:"" help:"Queue a job; one that no instance can ever hold is refused."`
	Cancel JobCancel `cmd:"" help:"Ask for the end of jobs."`
}

// Units and bound of declared resources.
const (
	milliPerProcessor = 1000
	megabytesPerGB    = 1024
	maxAmount         = 1_000_000 // in the unit of the option: processors, GB or accelerators
)

// maxRunTime is the upper bound of --run-time.
const maxRunTime = 365 * 24 * time.Hour

// JobSubmit is the command that queues a job. Numbers and durations are text, so that
// all wrong options are reported together.
type JobSubmit struct {
	ID           string `help:"ID of the job; drawn if left out."`
	Pool         string `required:"" help:"Pool whose instances run the job."`
	Team         string `required:"" help:"Team whose quota the job uses."`
	Processors   string `help:"Processors, such as 2 or 0.5." default:"1"`
	Memory       string `help:"Memory in GB, such as 4 or 0.5." default:"1"`
	Accelerators string `help:"Accelerators." default:"0"`
	RunTime      string `help:"Expected run time, such as 10m." default:"0s"`
	Class        string `help:"Class of jobs whose sizes and run times are learned together."`
	Urgent       bool   `help:"Place it before jobs that are not urgent."`
	RequestOption
}

// check converts the options to a job and adds every wrong one to k.
func (c JobSubmit) check(k *settings.Checker) model.Job {
	return model.Job{
		ID: model.JobID(c.ID), Pool: model.PoolName(k.Name("pool", c.Pool)), Team: model.TeamName(k.Name("team", c.Team)),
		Urgent: c.Urgent, Class: c.Class, DeclaredRun: k.Duration("run-time", c.RunTime, 0, maxRunTime),
		Declared: model.Resources{
			MilliCPU:     parseAmount(k, "processors", c.Processors, milliPerProcessor),
			MemoryMB:     parseAmount(k, "memory", c.Memory, megabytesPerGB),
			Accelerators: parseAmount(k, "accelerators", c.Accelerators, 1),
		},
	}
}

// parseAmount converts a number of units and rounds it down. It adds a problem to k and
// returns 0 if the text is not a number or is out of bounds.
func parseAmount(k *settings.Checker, flag, text string, unit float64) int64 {
	f, err := strconv.ParseFloat(text, 64)
	switch {
	case err != nil || f != f:
		k.Add(flag, text, "is not a number")
	case f < 0 || f > maxAmount:
		k.Add(flag, text, "must be between 0 and %d", maxAmount)
	default:
		return int64(f * unit)
	}
	return 0
}

// Run submits the job, with a new ID if none is given.
func (c JobSubmit) Run(s *session.Session) error {
	var k settings.Checker
	job := c.check(&k)
	if err := k.Err(); err != nil {
		return err
	}
	if c.RequestID != "" && c.ID == "" {
		return result.New(result.InvalidInput, "--request-id needs the --id of the first attempt, because a resend must be the same command")
	}
	job.ID = model.JobID(idOrNew("job", c.ID))
	return c.submit(s, model.SubmitJob{Job: job})
}

// JobCancel is the command that cancels one or more jobs.
type JobCancel struct {
	Jobs []string `arg:"" help:"IDs of the jobs."`
	RequestOption
}

// Run submits the cancellation; several jobs are cancelled by a single command.
func (c JobCancel) Run(s *session.Session) error {
	if len(c.Jobs) == 1 {
		return c.submit(s, model.CancelJob{ID: model.JobID(c.Jobs[0])})
	}
	cancel := model.CancelJobs{}
	for _, id := range c.Jobs {
		cancel.IDs = append(cancel.IDs, model.JobID(id))
	}
	return c.submit(s, cancel)
}
