package command

import (
	"slices"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// operatorPhases are the phases that an operator may set for a wave. The system sets
// the others from the progress of the wave.
var operatorPhases = []model.WavePhase{model.WaveRunning, model.WavePaused, model.WaveCancelled}

// checkAllowed returns OK if an operator may send the command. It returns Forbidden
// for commands that only processes of the system may send, and InvalidInput for
// values that only they may set.
func checkAllowed(c model.Command) result.Result {
	switch c := c.(type) {
	case model.AcceptConfig, model.RevertConfig, model.UndoMove, model.StartWave, model.CancelJob, model.CancelJobs:
		return result.Result{Code: result.OK}
	case model.DrainInstance:
		return require(c.HeldBy == "", "a drain by an operator must not set a holder")
	case model.ReturnInstance:
		return require(c.HeldBy == "", "a return by an operator must not set a holder")
	case model.StartMove:
		return require(!c.Lend, "instances are lent by the system only")
	case model.SetWavePhase:
		return require(slices.Contains(operatorPhases, c.Phase), "an operator cannot set the phase of a wave to "+c.Phase.String())
	case model.SubmitJob:
		return require(hasOnlyDeclared(c.Job), "a submitted job must contain declared values only")
	}
	return result.New(result.Forbidden, "%T is not a command of operators", c)
}

func require(allowed bool, reason string) result.Result {
	if allowed {
		return result.Result{Code: result.OK}
	}
	return result.New(result.InvalidInput, "%s", reason)
}

// hasOnlyDeclared reports whether all fields that the system sets are empty.
func hasOnlyDeclared(j model.Job) bool {
	return j == model.Job{
		ID: j.ID, Team: j.Team, Pool: j.Pool, Urgent: j.Urgent,
		Declared: j.Declared, DeclaredRun: j.DeclaredRun, Class: j.Class,
	}
}
