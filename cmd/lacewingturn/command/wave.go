package command

import (
	"time"

	"lacewingturn.example/cmd/lacewingturn/session"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// Wave declares the commands on maintenance waves for kong.
type Wave struct {
	Start  WaveStart  `cmd:"" help:"Start a maintenance wave over all instances of the pools."`
	Pause  WavePause  `cmd:"" help:"Pause a wave; instances that it holds are returned or finished."`
	Resume WaveResume `cmd:"" help:"Resume a paused or stopped wave."`
	Cancel WaveCancel `cmd:"" help:"End a wave; it starts nothing more."`
}

// WaveStart is the command that starts a maintenance wave over all instances of pools.
type WaveStart struct {
	Pools  []string `arg:"" help:"Names of the pools."`
	ID     string   `help:"ID of the wave; drawn if left out."`
	Before string   `help:"Leave out instances maintained after this time, such as 2026-12-01T00:00:00Z."`
	RequestOption
}

// Run submits the wave, with a new ID if none is given.
func (c WaveStart) Run(s *session.Session) error {
	if c.RequestID != "" && c.ID == "" {
		return result.New(result.InvalidInput, "--request-id needs the --id of the first attempt, because a resend must be the same command")
	}
	wave := model.StartWave{ID: model.WaveID(idOrNew("wave", c.ID))}
	for _, p := range c.Pools {
		wave.Pools = append(wave.Pools, model.PoolName(p))
	}
	if c.Before != "" {
		t, err := time.Parse(time.RFC3339, c.Before)
		if err != nil {
			return result.New(result.InvalidInput, "--before = %q: is not a time such as 2026-12-01T00:00:00Z", c.Before)
		}
		wave.MaintainedBefore = model.TimestampOf(t)
	}
	return c.submit(s, wave)
}

// WaveArguments holds the arguments shared by the commands on an existing wave.
type WaveArguments struct {
	Wave   string `arg:"" help:"ID of the wave."`
	Reason string `help:"Reason that the queries show."`
	RequestOption
}

func (c WaveArguments) setPhase(s *session.Session, phase model.WavePhase) error {
	return c.submit(s, model.SetWavePhase{ID: model.WaveID(c.Wave), Phase: phase, Reason: c.Reason})
}

// WavePause is the command that pauses a wave until it is resumed.
type WavePause struct{ WaveArguments }

// Run submits the change to the phase paused.
func (c WavePause) Run(s *session.Session) error { return c.setPhase(s, model.WavePaused) }

// WaveResume is the command that resumes a paused or stopped wave.
type WaveResume struct{ WaveArguments }

// Run submits the change to the phase running.
func (c WaveResume) Run(s *session.Session) error { return c.setPhase(s, model.WaveRunning) }

// WaveCancel is the command that ends a wave for good.
type WaveCancel struct{ WaveArguments }

// Run submits the change to the phase cancelled.
func (c WaveCancel) Run(s *session.Session) error { return c.setPhase(s, model.WaveCancelled) }
