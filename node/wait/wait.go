// Package wait provides a sleep that ends early if its context ends.
package wait

import (
	"context"
	"time"
)

// Sleep waits for d. It returns nil after that time, or the error of ctx if ctx ends
// first. If d is not positive, it returns the error of ctx without waiting.
func Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
