package site

import (
	"context"
	"strings"

	"github.com/gravitational/trace"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/operator/answers"
	"lacewingturn.example/operator/client"
)

// sampleConfig generates the configuration of a sample after revise has changed the text
// of its answers.
func sampleConfig(sample string, revise func(string) string) (model.Config, error) {
	data, err := answers.Sample(sample)
	if err != nil {
		return model.Config{}, trace.Wrap(err)
	}
	a, problems := answers.Read([]byte(revise(string(data))))
	if len(problems) > 0 {
		return model.Config{}, trace.BadParameter("sample %s: %v", sample, problems)
	}
	return answers.Generate(a), nil
}

func unchanged(s string) string { return s }

func (d *Demo) acceptSample(ctx context.Context) error {
	config := d.config
	r := d.submit(ctx, client.NewRequestID(), model.AcceptConfig{Base: 0, Config: config})
	inForce := d.awaitInForce(ctx, model.Revision(r.Revision))
	d.outcomes.add(r.Code == result.Accepted && inForce, "the generated configuration is accepted and in force on every entry instance",
		"%s, revision %d, in force on %d of %d", r.Code, r.Revision, d.countInForce(model.Revision(r.Revision)), len(d.site.Entries))
	conflicting := d.submit(ctx, client.NewRequestID(), model.AcceptConfig{Base: 0, Config: config})
	d.outcomes.add(conflicting.Code == result.Conflicting, "a second configuration from the same base revision is refused as a conflict that names the accepted change", "%s", conflicting.Error())
	return nil
}

// awaitInForce waits until every entry instance has the revision or a later one. It
// reports false if stepTimeout is over first.
func (d *Demo) awaitInForce(ctx context.Context, revision model.Revision) bool {
	return eventually(ctx, func() bool { return d.countInForce(revision) == len(d.site.Entries) })
}

func (d *Demo) countInForce(revision model.Revision) int {
	n := 0
	for _, e := range d.site.Entries {
		if v := e.Entry.Source.View(); v != nil && v.Traffic.Revision >= revision {
			n++
		}
	}
	return n
}

func (d *Demo) reviseAnswer(ctx context.Context) error {
	revised, err := sampleConfig(DemoSample, func(s string) string { return strings.Replace(s, "soak: 60s", "soak: 1s", 1) })
	if err != nil {
		return err
	}
	var r result.Result
	replies, err := d.underLoad(ctx, func() error {
		r = d.submit(ctx, client.NewRequestID(), model.AcceptConfig{Base: 1, Config: revised})
		return nil
	})
	if err != nil {
		return err
	}
	d.config = revised
	inForce := d.awaitInForce(ctx, 2)
	d.outcomes.add(r.Code == result.Accepted && inForce, "the revised answer is in force on every entry instance", "%s, revision %d, in force on %d of %d",
		r.Code, r.Revision, d.countInForce(2), len(d.site.Entries))
	complete, first := countComplete(replies)
	d.outcomes.add(complete == len(replies), "no request fails while the configuration changes", "%d of %d complete%s", complete, len(replies), first)
	return nil
}
