package platform

import (
	"context"

	"github.com/gravitational/trace"

	"lacewingturn.example/core/model"
)

// NotConfigured is used when no platform is configured. All of its methods fail with
// trace.NotFound, so that waves wait and show this reason.
type NotConfigured struct{}

func errNotConfigured() error {
	return trace.NotFound("no platform is set; give its address in --platform-url")
}

// Start always fails with trace.NotFound.
func (NotConfigured) Start(context.Context, model.PlatformAction) error { return errNotConfigured() }

// Operation always fails with trace.NotFound.
func (NotConfigured) Operation(context.Context, model.OperationID) (model.OperationReport, error) {
	return model.OperationReport{}, errNotConfigured()
}

// Instance always fails with trace.NotFound.
func (NotConfigured) Instance(context.Context, model.InstanceID) (bool, error) {
	return false, errNotConfigured()
}
