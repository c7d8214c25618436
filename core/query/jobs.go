package query

import (
	"time"

	"lacewingturn.example/core/model"
)

// JobsView is the body of the jobs query.
type JobsView struct {
	Teams     []TeamEntry     `json:"teams"`
	Jobs      []JobEntry      `json:"jobs"`
	Workloads []WorkloadEntry `json:"workloads"`
}

// TeamEntry is the usage of one team's quota. Used is the capacity that its leases
// reserve.
type TeamEntry struct {
	Name   string `json:"name"`
	Quota  string `json:"quota"`
	Used   string `json:"used"`
	Queued int    `json:"queued"`
	Active int    `json:"active"` // leased or running
}

// JobEntry is one job in the jobs view.
type JobEntry struct {
	ID          string    `json:"id"`
	Team        string    `json:"team"`
	Pool        string    `json:"pool"`
	Class       string    `json:"class"`
	Urgent      bool      `json:"urgent"`
	Phase       string    `json:"phase"`
	Worker      string    `json:"worker"`
	Declared    string    `json:"declared"`
	Used        string    `json:"used"` // as last reported
	Attempts    int       `json:"attempts"`
	Failures    int       `json:"failures"`
	SubmittedAt time.Time `json:"submitted_at"`
	StartedAt   time.Time `json:"started_at"`
	EndedAt     time.Time `json:"ended_at"`
	Reason      string    `json:"reason"`
}

// Jobs returns all teams, jobs and workloads, or only the job or workload with the
// given ID if it is not empty. It reports false if there is none with that ID.
func Jobs(s model.State, id model.JobID) (JobsView, bool) {
	v := JobsView{Teams: []TeamEntry{}, Jobs: []JobEntry{}, Workloads: workloads(s, model.WorkloadID(id))}
	if id != "" {
		if j, ok := s.Jobs.Get(id); ok {
			v.Jobs = append(v.Jobs, jobEntry(j))
		}
		return v, len(v.Jobs)+len(v.Workloads) > 0
	}
	used := map[model.TeamName]model.Resources{}
	queued, active := map[model.TeamName]int{}, map[model.TeamName]int{}
	for _, j := range s.Jobs.All() {
		v.Jobs = append(v.Jobs, jobEntry(j))
		switch j.Phase {
		case model.JobQueued:
			queued[j.Team]++
		case model.JobLeased, model.JobRunning:
			active[j.Team]++
			used[j.Team] = used[j.Team].Add(j.Reserved)
		}
	}
	if s.Config == nil {
		return v, true
	}
	for _, t := range s.Config.Teams {
		v.Teams = append(v.Teams, TeamEntry{
			Name: string(t.Name), Quota: Capacity(t.Quota), Used: Capacity(used[t.Name]), Queued: queued[t.Name], Active: active[t.Name],
		})
	}
	return v, true
}

func jobEntry(j model.Job) JobEntry {
	return JobEntry{
		ID: string(j.ID), Team: string(j.Team), Pool: string(j.Pool), Class: j.Class, Urgent: j.Urgent, Phase: j.Phase.String(),
		Worker: string(j.Lease.Worker), Declared: Capacity(j.Declared), Used: Capacity(j.Used), Attempts: j.Attempts, Failures: j.Failures,
		SubmittedAt: utcTime(j.SubmittedAt), StartedAt: utcTime(j.StartedAt), EndedAt: utcTime(j.EndedAt), Reason: j.Reason,
	}
}
