// Package client proposes commands to the leader of the control replicas.
package client

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync/atomic"

	"connectrpc.com/connect"

	"lacewingturn.example/api/codec"
	replicav1 "lacewingturn.example/api/gen/lacewingturn/replica/v1"
	"lacewingturn.example/api/gen/lacewingturn/replica/v1/replicav1connect"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// compressFrom is the size in bytes from which a request is compressed. A
// catalog of hundreds of queues takes half a second on a link of 2 Mbit/s.
const compressFrom = 8 << 10

// Client implements entry.Control over the network. It is safe for concurrent use.
type Client struct {
	seeds   atomic.Pointer[[]string] // from the settings; asked while no member answers
	members atomic.Pointer[[]string] // replicas that a replica has named
	http    connect.HTTPClient
	leader  atomic.Pointer[string] // address of the last known leader
	lost    atomic.Bool            // the last search found no leader
}

// New returns a client that finds the replicas through the seeds (host:port).
// The HTTP client must speak HTTP/2 without TLS or TLS as the replicas do.
func New(seeds []string, httpClient connect.HTTPClient) *Client {
	c := &Client{http: httpClient}
	c.members.Store(&[]string{})
	c.SetSeeds(seeds)
	return c
}

// SetSeeds replaces the seeds. Members that the client has learned stay known.
func (c *Client) SetSeeds(addresses []string) {
	list := slices.Clone(addresses)
	c.seeds.Store(&list)
}

// LeaderLost reports whether the last search for the leader found none.
func (c *Client) LeaderLost() bool { return c.lost.Load() }

// NewHTTPClient returns an HTTP client for HTTP/2 without TLS that replaces
// connections which have gone silent.
func NewHTTPClient() *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: attemptTimeout / 2}).DialContext, Protocols: protocols,
		HTTP2: &http.HTTP2Config{SendPingTimeout: attemptTimeout / 2, PingTimeout: attemptTimeout / 2},
	}}
}

// Propose commits the commands in order through the leader. It tries other
// replicas until ctx ends as long as that is safe: nothing was appended, or
// every command may be repeated. A result of NoQuorum means that no leader was
// found and that nothing was appended; Unknown that the commands may have been.
func (c *Client) Propose(ctx context.Context, commands []model.Envelope) ([]result.Result, error) {
	req := &replicav1.ProposeRequest{}
	repeatable := true
	for _, env := range commands {
		data, err := codec.EncodeEnvelope(env)
		if err != nil {
			return nil, err
		}
		req.Envelopes = append(req.Envelopes, data)
		repeatable = repeatable && Repeatable(env)
	}
	if len(commands) == 0 {
		return nil, nil
	}
	return c.rounds(ctx, req, repeatable), nil
}

// rounds tries the replicas until there is an answer, a repetition would not be
// safe, or ctx ends.
func (c *Client) rounds(ctx context.Context, req *replicav1.ProposeRequest, repeatable bool) []result.Result {
	maybe := false // an attempt may have been appended
	var results []result.Result
	c.search(ctx, func(address string) reply {
		a := c.attempt(ctx, address, req)
		maybe = maybe || a.unknown
		if a.results != nil && !(a.unknown && repeatable && ctx.Err() == nil) {
			results = a.results
		}
		a.final = results != nil || a.unknown && !repeatable
		return a.reply
	})
	if results == nil {
		return c.gaveUp(len(req.Envelopes), maybe)
	}
	return results
}

func (c *Client) gaveUp(n int, maybe bool) []result.Result {
	r := result.New(result.NoQuorum, "no leader of the control replicas was found before the deadline")
	if maybe {
		r = result.New(result.Unknown, "the answer of the leader was lost")
	}
	return slices.Repeat([]result.Result{r}, n)
}

// answer is the outcome of one attempt.
type answer struct {
	reply
	results []result.Result // nil if there was none
	unknown bool            // the commands may have been appended
}

func (c *Client) attempt(ctx context.Context, address string, req *replicav1.ProposeRequest) answer {
	ctx, cancel := context.WithTimeout(ctx, attemptTime(ctx))
	defer cancel()
	commands := replicav1connect.NewReplicaCommandServiceClient(c.http, "http://"+address, connect.WithSendGzip(), connect.WithCompressMinBytes(compressFrom))
	resp, err := commands.Propose(ctx, connect.NewRequest(req))
	if err != nil {
		return answer{reply: reply{silent: true}, unknown: !notSent(err)}
	}
	if resp.Msg.NotLeader {
		return answer{reply: reply{leader: resp.Msg.LeaderAddress}}
	}
	a := answer{results: make([]result.Result, len(req.Envelopes))}
	for i := range a.results {
		if i >= len(resp.Msg.Results) {
			return answer{unknown: true}
		}
		if a.results[i], err = codec.DecodeResult(resp.Msg.Results[i]); err != nil {
			return answer{unknown: true}
		}
		a.unknown = a.unknown || a.results[i].Code == result.Unknown
	}
	c.leader.Store(&address)
	return a
}

// notSent reports whether the request certainly did not reach a replica, or
// was refused by its server before it was handled.
func notSent(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return true
	}
	code := connect.CodeOf(err)
	return code == connect.CodeInvalidArgument || code == connect.CodeUnimplemented
}

// Repeatable reports whether a command has the same effect when it is committed
// twice: it carries a request ID, or it is guarded by an attempt, generation or
// epoch of its own.
func Repeatable(env model.Envelope) bool {
	if env.RequestID != "" {
		return true
	}
	switch env.Command.(type) {
	case model.Noop, model.ClaimRequest, model.SettleClaim, model.AnnounceTarget, model.RemoveTarget, model.RemoveEntry,
		model.ReportWork, model.SubmitWorkload, model.CancelWorkload, model.PublishCatalog, model.OrderUpkeep, model.BeginUpkeep:
		return true
	}
	return false
}
