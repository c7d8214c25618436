package codec

import (
	"testing"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/command"
	"lacewingturn.example/core/model"
)

// Guards against a job index that is not rebuilt when a snapshot is decoded:
// placement would not find the queued and active jobs.
func TestJobIndexSurvivesEncoding(t *testing.T) {
	size := model.Resources{MilliCPU: 1000, MemoryMB: 1024}
	s := model.State{}
	s.Instances = s.Instances.Set("w", model.Instance{ID: "w", Pool: "p", Phase: model.PhaseActive, Capacity: size})
	for i, c := range []model.Command{
		model.SubmitJob{Job: model.Job{ID: "a", Pool: "p", Declared: size}},
		model.SubmitJob{Job: model.Job{ID: "b", Pool: "p", Declared: size}},
		model.SubmitJob{Job: model.Job{ID: "c", Pool: "p", Declared: size}},
		model.PlaceJob{ID: "a", Worker: "w"},
		model.CancelJob{ID: "b"},
	} {
		s, _ = command.Apply(s, model.Index(i+1), 1, model.Envelope{Time: 9, Command: c})
	}
	data, err := EncodeState(s)
	assert.NilError(t, err)
	decoded, err := DecodeState(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded.JobIndex.Queue.Values(), []model.JobID{"c"})
	assert.DeepEqual(t, decoded.JobIndex.Active.Values(), s.JobIndex.Active.Values())
	assert.DeepEqual(t, decoded.JobIndex.Loads.Values(), s.JobIndex.Loads.Values())
	assert.DeepEqual(t, decoded.JobIndex.Ended.Values(), []model.JobID{"b"})
}
