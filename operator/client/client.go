// Package client is the operators' side of the operator interface. It knows the
// addresses of several control replicas, gives every command a request ID and
// resends under the same ID when an answer is lost.
package client

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"lacewingturn.example/core/model"
	"lacewingturn.example/node/server"
	"lacewingturn.example/node/wait"
)

const (
	// attemptTimeout bounds one attempt at a command, so that a replica which went
	// silent is left for another. Resending under the same ID is safe. After the
	// leader was frozen, a change took at most 2.02 s with a timeout of 1.5 s, which
	// is above the bound of 2 s, although a successor was elected within 0.75 s. See
	// docs/measurements/end-to-end.md for the figure with this one.
	attemptTimeout = time.Second
	// readTimeout bounds a query, which is answered from memory.
	readTimeout = 3 * time.Second
	// minBackoff and maxBackoff bound the wait between two rounds over all replicas.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
)

// Settings of a client.
type Settings struct {
	// Addresses of the operator interfaces of the control replicas, host:port.
	Addresses []string
	// TLS may be nil; changes are then accepted on loopback addresses only.
	TLS *tls.Config
	// Actor is the name stated with changes. A client certificate overrides it.
	Actor string
}

// Client is safe for concurrent use.
type Client struct {
	settings Settings
	http     *http.Client
	// first is the position of the address that answered last. Beginning there
	// spares every command an attempt timeout while another replica is silent.
	first atomic.Int32
}

// New returns a client.
func New(s Settings) (*Client, error) {
	if len(s.Addresses) == 0 {
		return nil, trace.BadParameter("the address of at least one control replica is needed")
	}
	s.Addresses = slices.Clone(s.Addresses)
	return &Client{settings: s, http: server.NewClient(server.Dialer(s.TLS))}, nil
}

// NewRequestID returns a request ID, which contains the time of issue.
func NewRequestID() model.RequestID { return model.RequestID(uuid.Must(uuid.NewV7()).String()) }

// rounds calls try for each replica in turn, beginning with the one that answered
// last, until it reports that it is done or ctx ends.
func (c *Client) rounds(ctx context.Context, try func(address string) (done bool)) {
	backoff := minBackoff
	for {
		first := int(c.first.Load())
		for i := range c.settings.Addresses {
			n := (first + i) % len(c.settings.Addresses)
			if try(c.settings.Addresses[n]) {
				c.first.Store(int32(n))
				return
			}
			if ctx.Err() != nil {
				return
			}
		}
		if !pause(ctx, backoff) {
			return
		}
		backoff = min(backoff*2, maxBackoff)
	}
}

// pause waits with jitter; it reports false when ctx has ended.
func pause(ctx context.Context, d time.Duration) bool {
	return wait.For(ctx, d/2+rand.N(d/2)) == nil
}
