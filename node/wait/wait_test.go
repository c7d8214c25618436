package wait

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a wait that continues after its context has ended, or that ends too
// early.
func TestSleep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		assert.NilError(t, Sleep(t.Context(), time.Minute))
		assert.Equal(t, time.Since(begin), time.Minute)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.ErrorIs(t, Sleep(ctx, time.Hour), context.DeadlineExceeded)
		assert.ErrorIs(t, Sleep(ctx, 0), context.DeadlineExceeded)
		assert.Equal(t, time.Since(begin), time.Minute+time.Second)
	})
}
