package query

import (
	"strconv"

	operatorv1 "lacewingturn.example/api/gen/lacewingturn/operator/v1"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/query"
	"lacewingturn.example/core/result"
)

// builder makes one view, or a result that says why it cannot.
type builder func(s source, subject string) (any, result.Result)

// views has one builder for each view of the interface.
var views = map[operatorv1.View]builder{
	operatorv1.View_VIEW_STATUS: func(s source, _ string) (any, result.Result) {
		return query.Status(s.state, s.contact), ok
	},
	operatorv1.View_VIEW_TARGETS: func(s source, subject string) (any, result.Result) {
		return query.Targets(s.state, model.ServiceName(subject)), ok
	},
	operatorv1.View_VIEW_HISTORY: func(s source, _ string) (any, result.Result) {
		return query.History(s.state), ok
	},
	operatorv1.View_VIEW_CONFIG: buildConfig,
}

var ok = result.Result{Code: result.OK}

func buildConfig(s source, subject string) (any, result.Result) {
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
