package command

import "context"

// Run proposes claims and announcements until ctx ends.
func (g *Gateway) Run(ctx context.Context) { g.claims.run(ctx) }

// Withdraw ends the readiness of the instance; requests are still served.
func (g *Gateway) Withdraw(ctx context.Context) error { return g.port.Send(ctx, withdraw{}) }

// Drain refuses new requests and waits until none is in flight and every
// outcome is recorded, or until ctx ends.
func (g *Gateway) Drain(ctx context.Context) error {
	done := make(chan struct{})
	if err := g.port.Send(ctx, drain{done}); err != nil {
		return err
	}
	if err := waitClosed(ctx, done); err != nil {
		return err
	}
	settled := make(chan struct{})
	go func() {
		g.claims.open.Wait()
		close(settled)
	}()
	return waitClosed(ctx, settled)
}

func waitClosed(ctx context.Context, ch <-chan struct{}) error {
	select {
	case <-ch:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
