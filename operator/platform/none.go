package platform

import (
	"context"

	"github.com/gravitational/trace"

	"lacewingturn.example/core/model"
)

// None stands for a platform where none is set. It starts nothing and says so,
// so that waves wait with the reason shown.
type None struct{}

func errNone() error { return trace.NotFound("no platform is set; give its address in --platform-url") }

// Start always fails.
func (None) Start(context.Context, model.PlatformAction) error { return errNone() }

// Operation always fails.
func (None) Operation(context.Context, model.OperationID) (model.OperationReport, error) {
	return model.OperationReport{}, errNone()
}

// Instance always fails.
func (None) Instance(context.Context, model.InstanceID) (bool, error) { return false, errNone() }
