package command

import (
	"slices"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// operatorPhases are the phases that an operator may put a wave in; the others
// follow from what happens.
var operatorPhases = []model.WavePhase{model.WaveRunning, model.WavePaused, model.WaveCancelled}

// checkAllowed refuses commands, and values in commands, that only processes of
// the system may send.
func checkAllowed(c model.Command) result.Result {
	switch c := c.(type) {
	case model.AcceptConfig, model.RevertConfig, model.UndoMove, model.StartWave, model.CancelJob, model.CancelJobs:
		return result.Result{Code: result.OK}
	case model.DrainInstance:
		return only(c.HeldBy == "", "an operator's drain names no holder")
	case model.ReturnInstance:
		return only(c.HeldBy == "", "an operator's return names no holder")
	case model.StartMove:
		return only(!c.Lend, "instances are lent by the system only")
	case model.SetWavePhase:
		return only(slices.Contains(operatorPhases, c.Phase), "an operator cannot make a wave "+c.Phase.String())
	case model.SubmitJob:
		return only(declaredOnly(c.Job), "a submitted job holds declared values only")
	}
	return result.New(result.Forbidden, "%T is not a command of operators", c)
}

func only(allowed bool, reason string) result.Result {
	if allowed {
		return result.Result{Code: result.OK}
	}
	return result.New(result.InvalidInput, "%s", reason)
}

// declaredOnly reports whether everything that the system fills in is empty.
func declaredOnly(j model.Job) bool {
	return j == model.Job{
		ID: j.ID, Team: j.Team, Pool: j.Pool, Urgent: j.Urgent,
		Declared: j.Declared, DeclaredRun: j.DeclaredRun, Class: j.Class,
	}
}
