package workload

import (
	"fmt"
	"slices"

	"lacewingturn.example/core/model"
)

// recordProgress applies the ends and then the starts. It ignores those that do not match the
// state, because the workload has ended meanwhile or the state records another run.
func recordProgress(s *model.State, c model.RecordProgress, rules model.Rules) {
	for _, end := range c.Ends {
		recordEnd(s, end, rules)
	}
	for _, group := range groupGangs(s, c.Starts) {
		recordStarts(s, group, rules)
	}
}

// groupGangs groups consecutive starts of the same gang; every other start is a group of its own.
func groupGangs(s *model.State, starts []model.RunStart) [][]model.RunStart {
	var out [][]model.RunStart
	for _, start := range starts {
		ref := start.Run.Task
		w, ok := s.Workloads.Get(ref.Workload)
		if !ok || ref.Step < 0 || ref.Step >= len(w.Steps) {
			continue
		}
		if n := len(out); n > 0 && w.Steps[ref.Step].Gang {
			if last := out[n-1][0].Run.Task; last.Workload == ref.Workload && last.Round == ref.Round && last.Step == ref.Step {
				out[n-1] = append(out[n-1], start)
				continue
			}
		}
		out = append(out, []model.RunStart{start})
	}
	return out
}

// recordStarts records all starts of a group or none.
func recordStarts(s *model.State, group []model.RunStart, rules model.Rules) {
	for _, start := range group {
		if !startable(s, start, rules) {
			return
		}
	}
	for _, start := range group {
		w, _ := s.Workloads.Get(start.Run.Task.Workload)
		update(s, w, changeTask(w, start.Run.Task, func(t *model.Task) {
			t.LastRun = start.Run.Number
			t.Active = append(slices.Clone(t.Active), model.Run{Number: start.Run.Number, Worker: start.Worker, StartedAt: s.Clock})
		}))
		assign(s, start)
	}
}

// startable reports whether a run may start: its step is open, the task is not done and has
// failed less often than its workload allows (lasting tasks have no limit), and no other run is
// active unless the step is speculative.
func startable(s *model.State, start model.RunStart, rules model.Rules) bool {
	ref := start.Run.Task
	w, ok := s.Workloads.Get(ref.Workload)
	if !ok {
		return false
	}
	task, ok := w.Task(ref)
	if !ok || task.Done || start.Run.Number <= task.LastRun || !w.StepReady(ref.Round, ref.Step) {
		return false
	}
	step := w.Steps[ref.Step]
	if len(task.Active) > 0 && !step.Speculative {
		return false
	}
	return step.Lasting || failures(w, ref, rules) < w.MaxFailures
}

// failures returns how often the task has failed. A gang fails as a whole, once for each
// run that at least one member has failed.
func failures(w model.Workload, ref model.TaskRef, rules model.Rules) int {
	step := w.Rounds.Step(ref.Round, ref.Step)
	if !w.Steps[ref.Step].Gang {
		return step.Tasks.At(ref.Index).Failures
	}
	if rules == model.FirstRules {
		return memberFailures(step)
	}
	return step.GangProgress().FailedRuns + maxMemberFailures(step)
}

// memberFailures returns the sum of the failures of the members of a gang.
func memberFailures(step model.StepState) int {
	n := 0
	for _, t := range step.Tasks.Begun() {
		n += t.Failures
	}
	return n
}

// maxMemberFailures returns the largest number of failures of one member of a gang. They
// were recorded by FirstRules, which do not tell in which runs the members failed: so many
// runs of the gang have certainly failed.
func maxMemberFailures(step model.StepState) int {
	n := 0
	if step.Tasks.Failed() == 0 {
		return n
	}
	for _, t := range step.Tasks.Begun() {
		n = max(n, t.Failures)
	}
	return n
}

// recordEnd applies the end of a run. It ignores a run that is not active on the worker that reports
// its end.
func recordEnd(s *model.State, end model.RunEnd, rules model.Rules) {
	ref := end.Run.Task
	w, ok := s.Workloads.Get(ref.Workload)
	if !ok {
		return
	}
	task, ok := w.Task(ref)
	if !ok || !isActive(task, end) {
		return
	}
	step, before := w.Steps[ref.Step], w
	w = changeTask(w, ref, func(t *model.Task) {
		t.Active = slices.DeleteFunc(slices.Clone(t.Active), func(r model.Run) bool { return r.Number == end.Run.Number })
		if end.Checkpoint != "" && (!step.Gang || rules == model.FirstRules) {
			t.Checkpoint = end.Checkpoint
		}
		if end.Outcome == model.RunFailed && (!step.Gang || rules == model.FirstRules) {
			t.Failures++
		}
	})
	if step.Gang && rules != model.FirstRules {
		w = recordGangEnd(w, end)
	}
	unassign(s, end.Worker, end.Run)
	running := w // includes copies and gang members, which markDone unassigns
	if end.Outcome == model.RunDone && !step.Lasting {
		w = markDone(s, w, ref, step.Gang)
	}
	update(s, before, w)
	finishIfDecided(s, w, ref, rules, &running)
}

// recordGangEnd records the end of a member's run for its gang. The run counts as failed
// once, whichever members fail it. The first checkpoint of a run is kept: one from any
// member is valid for all, and the members that end with the gang report it before the one
// whose worker was lost. All runs of a member end before its next one starts, so that the
// numbers of ended runs never decrease.
func recordGangEnd(w model.Workload, end model.RunEnd) model.Workload {
	return changeStep(w, end.Run.Task, func(step *model.StepState) {
		gang := step.GangProgress()
		if end.Outcome == model.RunFailed && end.Run.Number > gang.LastFailedRun {
			gang.LastFailedRun = end.Run.Number
			gang.FailedRuns++
		}
		if end.Checkpoint != "" && end.Run.Number > gang.CheckpointRun {
			gang.Checkpoint, gang.CheckpointRun = end.Checkpoint, end.Run.Number
		}
		if gang != step.GangProgress() {
			step.Gang = &gang
		}
	})
}

func isActive(t model.Task, end model.RunEnd) bool {
	return slices.ContainsFunc(t.Active, func(r model.Run) bool { return r.Number == end.Run.Number && r.Worker == end.Worker })
}

// markDone marks the task as done, or all tasks of its gang, and unassigns their other runs.
func markDone(s *model.State, w model.Workload, ref model.TaskRef, gang bool) model.Workload {
	first, last := ref.Index, ref.Index
	if gang {
		first, last = 0, w.Steps[ref.Step].Count-1
	}
	for i := first; i <= last; i++ {
		member := ref
		member.Index = i
		w = changeTask(w, member, func(t *model.Task) {
			for _, run := range t.Active {
				unassign(s, run.Worker, model.RunRef{Task: member, Number: run.Number})
			}
			t.Done, t.Active, t.Checkpoint = true, nil, ""
		})
	}
	if gang {
		w = changeStep(w, ref, func(step *model.StepState) { step.Gang = nil })
	}
	return w
}

// finishIfDecided moves the workload to a final phase if the end of the task decides its
// outcome. Workers may still have what was running before.
func finishIfDecided(s *model.State, w model.Workload, ref model.TaskRef, rules model.Rules, running *model.Workload) {
	task, _ := w.Task(ref)
	if n := failures(w, ref, rules); !task.Done && !w.Steps[ref.Step].Lasting && n >= w.MaxFailures {
		reason := fmt.Sprintf("task %d of step %d in round %d has failed %d times", ref.Index, ref.Step, ref.Round, n)
		finish(s, w, model.WorkloadFailed, reason, heldBy(running))
		return
	}
	if w.Rounds.Complete() {
		finish(s, w, model.WorkloadCompleted, "", heldBy(running))
	}
}

// changeTask returns the workload with one task changed; the given workload is not modified.
func changeTask(w model.Workload, ref model.TaskRef, change func(*model.Task)) model.Workload {
	return changeStep(w, ref, func(step *model.StepState) {
		task := step.Tasks.At(ref.Index)
		change(&task)
		*step = step.WithTask(ref.Index, task)
	})
}

// changeStep returns the workload with the progress of one step changed; the given workload
// is not modified. The function must not change the tasks in place.
func changeStep(w model.Workload, ref model.TaskRef, change func(*model.StepState)) model.Workload {
	step := w.Rounds.Step(ref.Round, ref.Step)
	change(&step)
	w.Rounds = w.Rounds.WithStep(ref.Round, ref.Step, step)
	return w
}
