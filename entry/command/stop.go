package command

import (
	"context"
	"time"

	"lacewingturn.example/node/wait"
)

// Run proposes claims, outcomes and announcements until ctx ends. Tasks that are
// still queued then are refused.
func (g *Gateway) Run(ctx context.Context) { g.proposer.run(ctx) }

// WithdrawReadiness makes the instance report itself as not ready, so that load
// balancers stop sending to it; requests are still served. It fails if ctx ends
// first.
func (g *Gateway) WithdrawReadiness(ctx context.Context) error {
	return g.port.Send(ctx, withdrawReadiness{})
}

// Drain refuses new requests and waits until no request is queued or in flight,
// every outcome is recorded and every granted credit has ended. It returns the error
// of ctx if that ends first.
func (g *Gateway) Drain(ctx context.Context) error {
	done := make(chan time.Time, 1)
	if err := g.port.Send(ctx, drain{done}); err != nil {
		return err
	}
	var granted time.Time
	select {
	case granted = <-done:
	case <-ctx.Done():
		return ctx.Err()
	}
	if wait.Sleep(ctx, time.Until(granted)) != nil {
		return ctx.Err()
	}
	return nil
}
