// Package query is the client that reads the state of operations and instances from
// the platform.
package query

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"github.com/gravitational/trace"

	"lacewingturn.example/core/model"
	"lacewingturn.example/operator/platform"
)

// Client sends queries to the platform. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the platform at the base URL, which has no trailing slash.
func New(base string, client *http.Client) *Client { return &Client{base: base, http: client} }

// Operation returns the state of the operation, OperationAbsent if the platform never
// received it. The caller sets the time of the report.
func (c *Client) Operation(ctx context.Context, id model.OperationID) (model.OperationReport, error) {
	var op platform.Operation
	found, err := c.get(ctx, "/operations/"+url.PathEscape(string(id)), &op)
	if err != nil {
		return model.OperationReport{}, trace.Wrap(err, "operation %s", id)
	}
	if !found {
		return model.OperationReport{State: model.OperationAbsent}, nil
	}
	states := map[platform.State]model.OperationState{
		platform.StateRunning: model.OperationRunning, platform.StateSucceeded: model.OperationSucceeded,
		platform.StateFailed: model.OperationFailed,
	}
	state, known := states[op.State]
	if !known {
		return model.OperationReport{}, trace.BadParameter("operation %s has the unknown state %q", id, op.State)
	}
	return model.OperationReport{State: state, Reason: op.Reason}, nil
}

// Instance reports whether the instance is up according to the platform. It fails
// with trace.NotFound if the platform does not know the instance.
func (c *Client) Instance(ctx context.Context, id model.InstanceID) (up bool, err error) {
	var i platform.Instance
	found, err := c.get(ctx, "/instances/"+url.PathEscape(string(id)), &i)
	if err != nil {
		return false, trace.Wrap(err, "instance %s", id)
	}
	if !found {
		return false, trace.NotFound("the platform does not know instance %s", id)
	}
	return i.Up, nil
}

// get decodes the response into v. It returns false if the platform responds 404.
func (c *Client) get(ctx context.Context, path string, v any) (found bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return false, trace.Wrap(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return false, trace.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotFound {
		return false, nil
	}
	if resp.StatusCode != http.StatusOK {
		return false, trace.Errorf("the platform answered %s", resp.Status)
	}
	return true, trace.Wrap(json.NewDecoder(io.LimitReader(resp.Body, platform.MaxBody)).Decode(v))
}
