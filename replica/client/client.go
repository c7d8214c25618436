// Package client sends commands and queries to the control replicas: it finds the
// leader, retries with other replicas, forwards commands from a follower and polls
// the assignments of workers.
package client

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"

	"connectrpc.com/connect"

	"lacewingturn.example/api/codec"
	replicav1 "lacewingturn.example/api/gen/lacewingturn/replica/v1"
	"lacewingturn.example/api/gen/lacewingturn/replica/v1/replicav1connect"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// minCompressBytes is the size in bytes from which requests are compressed. Without
// compression, a catalog of hundreds of queues takes half a second to send over a
// link of 2 Mbit/s.
const minCompressBytes = 8 << 10

// Client sends commands and queries to the leader of the control replicas over the
// network. It implements entry.Control and is safe for concurrent use.
type Client struct {
	seeds          atomic.Pointer[[]string] // from the settings; tried while no member responds
	members        atomic.Pointer[[]string] // addresses of the members that replicas have reported or announced
	http           connect.HTTPClient
	leader         atomic.Pointer[string] // address of the last known leader; nil after it has failed a call
	limits         atomic.Pointer[string] // limits of callers' requests that the leader stated last
	noRecentLeader atomic.Bool            // the last search for the leader found none

	lookupMutex sync.Mutex
	lookup      *lookup // that calls wait for; nil if there is none
}

// New returns a client that discovers the replicas through the seeds (host:port).
// The HTTP client must use HTTP/2, with or without TLS as the replicas do.
func New(seeds []string, httpClient connect.HTTPClient) *Client {
	c := &Client{http: httpClient}
	c.members.Store(&[]string{})
	c.SetSeeds(seeds)
	return c
}

// SetSeeds replaces the seeds. The members that the client has discovered are kept.
func (c *Client) SetSeeds(addresses []string) {
	list := slices.Clone(addresses)
	c.seeds.Store(&list)
}

// NoRecentLeader reports whether the last search for the leader found none, because
// its deadline expired or the leader's response was lost. It becomes false when a
// leader responds.
func (c *Client) NoRecentLeader() bool { return c.noRecentLeader.Load() }

// NewHTTPClient returns a client for HTTP/2 without TLS that uses pings to detect
// and replace connections on which nothing arrives.
func NewHTTPClient() *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: attemptTimeout / 2}).DialContext, Protocols: protocols,
		HTTP2: &http.HTTP2Config{SendPingTimeout: attemptTimeout / 2, PingTimeout: attemptTimeout / 2},
	}}
}

// Propose commits the commands in order through the leader. It retries until ctx
// ends while a retry is safe: nothing was appended, or every command is
// Repeatable. The result NoQuorum means that no leader was found and nothing was
// appended; Unknown means that the commands may have been appended; InvalidInput that
// the command cannot be encoded, which does not hold up the others. The error is nil.
func (c *Client) Propose(ctx context.Context, commands []model.Envelope) ([]result.Result, error) {
	req := &replicav1.ProposeRequest{}
	results := make([]result.Result, len(commands))
	var positions []int // of the encoded commands
	var encoded []model.Envelope
	repeatable := true
	for i, env := range commands {
		data, _, err := codec.EncodeForLog(env)
		if err != nil {
			results[i] = result.New(result.InvalidInput, "%v", err)
			continue
		}
		req.Envelopes = append(req.Envelopes, data)
		positions, encoded = append(positions, i), append(encoded, env)
		repeatable = repeatable && Repeatable(env)
	}
	if len(positions) == 0 {
		return results, nil
	}
	for i, r := range c.proposeWithRetries(ctx, req, encoded, repeatable) {
		results[positions[i]] = r
	}
	return results, nil
}

// proposeWithRetries tries the replicas until the results are known, a retry would
// not be safe, or ctx ends. The request contains the commands.
func (c *Client) proposeWithRetries(ctx context.Context, req *replicav1.ProposeRequest, commands []model.Envelope, repeatable bool) []result.Result {
	maybeAppended := false // the commands of an attempt may have been appended
	var results []result.Result
	c.search(ctx, func(leader presumedLeader) reply {
		a := c.attempt(ctx, leader, req)
		settled := a.results != nil && !(a.unknown && repeatable && ctx.Err() == nil)
		// A replica that appends nothing says nothing about an earlier attempt.
		if settled && !(maybeAppended && slices.ContainsFunc(a.results, notAppended)) {
			results = a.results
		}
		if results != nil && maybeAppended {
			results = withoutOpenRefusals(commands, results)
		}
		maybeAppended = maybeAppended || a.unknown
		a.final = results != nil || a.unknown && !repeatable
		return a.reply
	})
	if results == nil {
		return c.failedResults(len(req.Envelopes), maybeAppended)
	}
	return results
}

// withoutOpenRefusals returns the results of repeated commands, with Unknown for those that leave
// open what became of the earlier attempts.
func withoutOpenRefusals(commands []model.Envelope, results []result.Result) []result.Result {
	out := slices.Clone(results)
	for i, r := range results {
		if i < len(commands) && !SettlesEarlierAttempt(commands[i].Command, r) {
			out[i] = result.New(result.Unknown, "an earlier attempt may have been committed; the last one was refused: %v", r)
		}
	}
	return out
}

// SettlesEarlierAttempt reports whether the result of a repeated command is also that of its earlier
// attempts, whose outcome is not known. The refusal of a call of a caller is not: an attempt may have
// been accepted before the reason arose, for example before the key of the caller was withdrawn.
func SettlesEarlierAttempt(c model.Command, r result.Result) bool {
	switch c.(type) {
	case model.SubmitWorkload:
		return r.Code.OK()
	case model.CancelWorkload:
		return r.Code.OK() || r.Code == result.Expired
	}
	return true
}

// failedResults returns the results of n commands that no leader has confirmed.
func (c *Client) failedResults(n int, maybeAppended bool) []result.Result {
	r := result.New(result.NoQuorum, "no leader of the control replicas was found before the deadline")
	if maybeAppended {
		r = result.New(result.Unknown, "the leader's response was lost; the command may have been committed")
	}
	return slices.Repeat([]result.Result{r}, n)
}

// proposeReply is the outcome of one attempt to propose commands.
type proposeReply struct {
	reply
	results []result.Result // nil if the leader returned none
	unknown bool            // the commands may have been appended
}

// attempt proposes the commands once, to the replica that is presumed to lead.
func (c *Client) attempt(ctx context.Context, leader presumedLeader, req *replicav1.ProposeRequest) proposeReply {
	ctx, cancel := context.WithTimeout(ctx, leader.callTime(ctx))
	defer cancel()
	// A call that never got a connection was not sent, also if its deadline expired while
	// the connection was being opened: a replica without power does not refuse it.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	commands := replicav1connect.NewReplicaCommandServiceClient(c.http, "http://"+leader.address, connect.WithSendGzip(), connect.WithCompressMinBytes(minCompressBytes))
	resp, err := commands.Propose(ctx, connect.NewRequest(req))
	if err != nil {
		return proposeReply{reply: reply{silent: true}, unknown: connected.Load() && !refused(err)}
	}
	if resp.Msg.NotLeader {
		return proposeReply{}
	}
	a := proposeReply{results: make([]result.Result, len(req.Envelopes))}
	for i := range a.results {
		if i >= len(resp.Msg.Results) {
			return proposeReply{unknown: true}
		}
		if a.results[i], err = codec.DecodeResult(resp.Msg.Results[i]); err != nil {
			return proposeReply{unknown: true}
		}
		a.unknown = a.unknown || a.results[i].Code == result.Unknown
	}
	if slices.ContainsFunc(a.results, func(r result.Result) bool { return r.Code == result.Stopping }) {
		return proposeReply{reply: reply{silent: true}, unknown: a.unknown} // another replica leads soon
	}
	c.leader.Store(&leader.address)
	return a
}

// notAppended reports whether a replica refused a command without appending it.
func notAppended(r result.Result) bool {
	switch r.Code {
	case result.NotLeader, result.NoQuorum, result.Overloaded, result.Stopping:
		return true
	}
	return false
}

// refused reports whether it is certain that the server rejected the request before
// handling it.
func refused(err error) bool {
	code := connect.CodeOf(err)
	return code == connect.CodeInvalidArgument || code == connect.CodeUnimplemented
}

// Repeatable reports whether a command is idempotent, so that it may be committed
// twice: it has a request ID, or its attempt, generation or epoch guards it.
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
