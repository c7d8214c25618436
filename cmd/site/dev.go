package site

import (
	"context"
	"io"
	"strings"

	"github.com/gravitational/trace"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/operator/client"
)

// StartDev starts a site, puts the configuration of a sample in force and starts its
// targets. folder and log are as for New. It fails if the configuration is refused or
// not in force on every entry instance within stepTimeout.
func StartDev(ctx context.Context, sample, folder string, log io.Writer) (*Site, error) {
	config, err := sampleConfig(sample, unchanged)
	if err != nil {
		return nil, err
	}
	s, err := New(ctx, folder, config.Instances, log)
	if err != nil {
		return nil, err
	}
	d := &Demo{site: s}
	if d.operator, err = s.Operator(); err != nil {
		return nil, err
	}
	r := d.submit(ctx, client.NewRequestID(), model.AcceptConfig{Config: config})
	if r.Code != result.Accepted {
		return nil, trace.Wrap(r)
	}
	if !d.awaitInForce(ctx, 1) {
		return nil, trace.LimitExceeded("the configuration was not in force on every entry instance within %s", stepTimeout)
	}
	return s, s.StartTargets(ctx, config)
}

// Describe returns the addresses of the site as human-readable lines, with an example
// request.
func (s *Site) Describe() []string {
	entry := s.EntryURLs()[0]
	return []string{
		"entry instances (callers, targets):  " + strings.Join(s.EntryURLs(), " "),
		"control replicas (operators):        export LACEWINGTURN_CONTROL=" + strings.Join(s.OperatorAddresses(), ","),
		"data folder:                         " + s.Folder,
		"example call:                        curl -i -H 'Lacewingturn-Caller: counter-1' " + entry + "/services/" + string(s.Targets[0].Service) + "/example",
		"stop with Ctrl-C",
	}
}
