// Package client proposes commands to the leader of the control replicas.
package client

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"lacewingturn.example/api/codec"
	replicav1 "lacewingturn.example/api/gen/lacewingturn/replica/v1"
	"lacewingturn.example/api/gen/lacewingturn/replica/v1/replicav1connect"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/node/wait"
)

const (
	// attemptTimeout bounds one call, so that a leader that was cut off does not
	// use up the deadline. It is longer than a commit under load.
	attemptTimeout = time.Second
	// minBackoff and maxBackoff bound the wait between rounds. An election takes
	// 0.5 to 0.9 s, so that about five rounds fall into it.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 200 * time.Millisecond
	// compressFrom is the size in bytes from which a request is compressed. A
	// catalog of hundreds of queues takes half a second on a link of 2 Mbit/s.
	compressFrom = 8 << 10
)

// Client implements entry.Control over the network. It is safe for concurrent use.
type Client struct {
	seeds   atomic.Pointer[[]string] // from the settings; asked while no member answers
	members atomic.Pointer[[]string] // replicas that a replica has named
	http    connect.HTTPClient
	leader  atomic.Pointer[string] // address of the last known leader
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
	silent := map[string]bool{}
	backoff := minBackoff
	for {
		for _, address := range c.candidates(silent) {
			a := c.attempt(ctx, address, req)
			silent[address] = a.silent
			if a.results != nil && !(a.unknown && repeatable && ctx.Err() == nil) {
				return a.results
			}
			maybe = maybe || a.unknown
			if a.unknown && !repeatable || ctx.Err() != nil {
				return c.gaveUp(len(req.Envelopes), maybe)
			}
			if a.leader != "" && a.leader != address && !silent[a.leader] {
				c.leader.Store(&a.leader)
				break // ask that one first
			}
		}
		if !pause(ctx, backoff) {
			return c.gaveUp(len(req.Envelopes), maybe)
		}
		backoff = min(backoff*2, maxBackoff)
	}
}

func (c *Client) gaveUp(n int, maybe bool) []result.Result {
	r := result.New(result.NoQuorum, "no leader of the control replicas was found before the deadline")
	if maybe {
		r = result.New(result.Unknown, "the answer of the leader was lost")
	}
	return slices.Repeat([]result.Result{r}, n)
}

// candidates lists the last known leader and then the other members in random
// order; seeds are added while no member answers. Replicas that were silent
// before in the same call come last, so that a leader that is gone is asked once
// in each round while the others tell who leads next.
func (c *Client) candidates(silent map[string]bool) []string {
	list := slices.Clone(*c.members.Load())
	if !slices.ContainsFunc(list, func(a string) bool { return !silent[a] }) {
		list = append(list, slices.DeleteFunc(slices.Clone(*c.seeds.Load()), func(a string) bool { return slices.Contains(list, a) })...)
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	if leader := c.leader.Load(); leader != nil {
		list = append([]string{*leader}, slices.DeleteFunc(list, func(a string) bool { return a == *leader })...)
	}
	answering := slices.DeleteFunc(slices.Clone(list), func(a string) bool { return silent[a] })
	return append(answering, slices.DeleteFunc(list, func(a string) bool { return !silent[a] })...)
}

// answer is the outcome of one attempt.
type answer struct {
	results []result.Result // nil if there was none
	silent  bool            // the replica did not answer
	unknown bool            // the commands may have been appended
	leader  string          // where the leader is, if the replica told
}

func (c *Client) attempt(ctx context.Context, address string, req *replicav1.ProposeRequest) answer {
	ctx, cancel := context.WithTimeout(ctx, attemptTime(ctx))
	defer cancel()
	commands := replicav1connect.NewReplicaCommandServiceClient(c.http, "http://"+address, connect.WithSendGzip(), connect.WithCompressMinBytes(compressFrom))
	resp, err := commands.Propose(ctx, connect.NewRequest(req))
	if err != nil {
		return answer{silent: true, unknown: !notSent(err)}
	}
	if resp.Msg.NotLeader {
		return answer{leader: resp.Msg.LeaderAddress}
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

// attemptTime returns how long one call may take: half of what is left, so that
// a replica that is silent leaves time for another one.
func attemptTime(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return attemptTimeout
	}
	return min(attemptTimeout, max(time.Until(deadline)/2, minBackoff))
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

// pause waits between rounds, with jitter; it reports false when ctx has ended.
func pause(ctx context.Context, d time.Duration) bool {
	return wait.For(ctx, d/2+rand.N(d/2)) == nil
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
