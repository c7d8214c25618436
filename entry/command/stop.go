package command

import (
	"context"
	"time"

	"lacewingturn.example/node/wait"
)

// Run proposes claims and announcements until ctx ends.
func (g *Gateway) Run(ctx context.Context) { g.claims.run(ctx) }

// Withdraw ends the readiness of the instance; requests are still served.
func (g *Gateway) Withdraw(ctx context.Context) error { return g.port.Send(ctx, withdraw{}) }

// Drain refuses new requests and waits until none is in flight, every outcome
// is recorded and every credit granted has ended, or until ctx ends.
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
	if wait.For(ctx, time.Until(granted)) != nil {
		return ctx.Err()
	}
	return nil
}
