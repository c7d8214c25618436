package query

import (
	"strconv"
	"strings"

	operatorv1 "lacewingturn.example/api/gen/lacewingturn/operator/v1"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/query"
	"lacewingturn.example/core/result"
)

// builder builds a view. The result is OK, or says why the view cannot be built.
type builder func(s viewInput, subject string) (any, result.Result)

// views maps each view of the operator interface to its builder.
var views = map[operatorv1.View]builder{
	operatorv1.View_VIEW_STATUS: func(s viewInput, _ string) (any, result.Result) {
		return query.Status(s.state, s.local), ok
	},
	operatorv1.View_VIEW_TARGETS: func(s viewInput, subject string) (any, result.Result) {
		return query.Targets(s.state, model.ServiceName(subject)), ok
	},
	operatorv1.View_VIEW_HISTORY: func(s viewInput, _ string) (any, result.Result) {
		return query.History(s.state), ok
	},
	operatorv1.View_VIEW_POOLS: func(s viewInput, subject string) (any, result.Result) {
		v, found := query.Pools(s.state, model.PoolName(subject))
		return v, okOrNotFound(found, "pool", subject)
	},
	operatorv1.View_VIEW_WAVES: func(s viewInput, subject string) (any, result.Result) {
		v, found := query.Waves(s.state, model.WaveID(subject))
		return v, okOrNotFound(found, "wave", subject)
	},
	operatorv1.View_VIEW_JOBS: func(s viewInput, subject string) (any, result.Result) {
		v, found := query.Jobs(s.state, model.JobID(subject))
		return v, okOrNotFound(found, "job", subject)
	},
	operatorv1.View_VIEW_ACCOUNTS: func(s viewInput, subject string) (any, result.Result) {
		v, found := query.Accounts(s.state, s.now, model.AccountName(subject))
		return v, okOrNotFound(found, "account", subject)
	},
	operatorv1.View_VIEW_CONFIG:  buildConfig,
	operatorv1.View_VIEW_EXPLAIN: buildExplanation,
}

var ok = result.Result{Code: result.OK}

func buildConfig(s viewInput, subject string) (any, result.Result) {
	revision := uint64(0)
	if subject != "" {
		n, err := strconv.ParseUint(subject, 10, 64)
		if err != nil {
			return nil, result.New(result.InvalidInput, "%q is not a revision", subject)
		}
		revision = n
	}
	v, found := query.Config(s.state, model.Revision(revision))
	if !found {
		return nil, result.New(result.NotFound, "revision %d is not in the history", revision)
	}
	return v, ok
}

// buildExplanation explains the state of one object. The subject is kind/ID, such as
// wave/w1.
func buildExplanation(s viewInput, subject string) (any, result.Result) {
	kind, id, _ := strings.Cut(subject, "/")
	e, found := query.Explain(s.state, s.observations, s.now, kind, id)
	return e, okOrNotFound(found, kind, id)
}

func okOrNotFound(found bool, kind, id string) result.Result {
	if found {
		return ok
	}
	return result.New(result.NotFound, "no %s %q", kind, id)
}
