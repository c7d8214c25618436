// Package command is the client that starts operations on the platform.
package command

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"github.com/gravitational/trace"

	"lacewingturn.example/core/model"
	"lacewingturn.example/operator/platform"
)

// Client sends commands to the platform. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the platform at the base URL, which has no trailing slash.
func New(base string, client *http.Client) *Client { return &Client{base: base, http: client} }

// Start starts the operation a.Operation on a.Instance. It is idempotent: a retry
// with the same operation ID has no further effect. An error other than
// platform.ErrConflict leaves open whether the platform received the request.
func (c *Client) Start(ctx context.Context, a model.PlatformAction) error {
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	kind := platform.KindDrain
	if a.OperationKind == model.OperationReboot {
		kind = platform.KindReboot
	}
	body, err := json.Marshal(platform.Operation{Instance: a.Instance, Kind: kind})
	if err != nil {
		return trace.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, c.base+"/operations/"+url.PathEscape(string(a.Operation)), bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return trace.Wrap(err, "begin operation %s", a.Operation)
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, platform.MaxBody))
	switch resp.StatusCode {
	case http.StatusOK, http.StatusAccepted:
		return nil
	case http.StatusConflict:
		return trace.Wrap(platform.ErrConflict, "operation %s", a.Operation)
	}
	return trace.Errorf("begin operation %s: the platform answered %s", a.Operation, resp.Status)
}
