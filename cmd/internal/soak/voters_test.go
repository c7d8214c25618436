package soak

import (
	"context"
	"slices"
	"time"

	operatorv1 "lacewingturn.example/api/gen/lacewingturn/operator/v1"
	"lacewingturn.example/core/query"
)

// statusTimeout limits a status query to one replica.
const statusTimeout = 300 * time.Millisecond

// voting reports whether all replicas answer and the leader lists the current id of
// each as a voter. A replica that lost its disk has a new id.
func (s *system) voting() bool {
	var replicas, voters []string
	for _, n := range s.nodes[:replicaCount] {
		status, err := n.status(s.ctx)
		if err != nil {
			return false
		}
		replicas = append(replicas, status.Replica)
		for _, r := range status.Replicas {
			if status.Leads && r.Voter {
				voters = append(voters, r.ID)
			}
		}
	}
	return !slices.ContainsFunc(replicas, func(id string) bool { return !slices.Contains(voters, id) })
}

func (n *node) status(ctx context.Context) (query.StatusView, error) {
	var v query.StatusView
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	_, err := n.operator.Read(ctx, operatorv1.View_VIEW_STATUS, "", &v)
	return v, err
}
