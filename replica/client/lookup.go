package client

import (
	"context"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"

	replicav1 "lacewingturn.example/api/gen/lacewingturn/replica/v1"
	"lacewingturn.example/api/gen/lacewingturn/replica/v1/replicav1connect"
	workloadv1 "lacewingturn.example/api/gen/lacewingturn/workload/v1"
	"lacewingturn.example/api/gen/lacewingturn/workload/v1/workloadv1connect"
)

const (
	// lookupTimeout bounds one lookup, so that it ends when no call waits for it any more.
	lookupTimeout = 3 * time.Second
	// minProbeInterval and maxProbeInterval limit the time between two probes of a lookup.
	minProbeInterval = 20 * time.Millisecond
	maxProbeInterval = 100 * time.Millisecond
)

// lookup is a search for the leader that several calls wait for.
type lookup struct {
	done    chan struct{} // closed when the lookup has ended
	address string        // of the leader, empty if none was found; set before done is closed
}

// awaitLeader waits until a replica confirms that it leads and returns its address, or an
// empty string if ctx ends first. The replica that has failed the caller is asked last.
func (c *Client) awaitLeader(ctx context.Context, failed string) string {
	for ctx.Err() == nil {
		l := c.joinLookup(ctx, failed)
		select {
		case <-l.done:
			if l.address != "" {
				return l.address
			}
		case <-ctx.Done():
		}
	}
	return ""
}

// joinLookup returns the current lookup and starts one if there is none.
func (c *Client) joinLookup(ctx context.Context, failed string) *lookup {
	c.lookupMutex.Lock()
	defer c.lookupMutex.Unlock()
	if c.lookup == nil {
		c.lookup = &lookup{done: make(chan struct{})}
		go c.runLookup(context.WithoutCancel(ctx), c.lookup, failed)
	}
	return c.lookup
}

func (c *Client) runLookup(ctx context.Context, l *lookup, failed string) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	l.address = c.probeReplicas(ctx, failed)
	if l.address != "" {
		c.leader.Store(&l.address)
	}
	c.lookupMutex.Lock()
	c.lookup = nil
	c.lookupMutex.Unlock()
	close(l.done)
}

// probe is the answer of a replica to the question whether it leads.
type probe struct {
	address    string
	leadership *workloadv1.Leadership // nil if the replica did not answer
}

// probeReplicas asks one replica after another whether it leads, and returns the address
// of the first one that does; empty if ctx ends first. It does not wait for an answer
// before it asks the next replica, because replicas without power do not answer.
func (c *Client) probeReplicas(ctx context.Context, failed string) string {
	r := prober{client: c, silent: map[string]bool{failed: true}, asked: map[string]bool{}, answers: make(chan probe)}
	interval := minProbeInterval
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ""
		case answer := <-r.answers:
			if r.record(ctx, answer) {
				return answer.address
			}
		case <-timer.C:
			r.askNext(ctx)
			timer.Reset(interval/2 + rand.N(interval/2))
			interval = min(interval*2, maxProbeInterval)
		}
	}
}

// prober is the state of one lookup.
type prober struct {
	client  *Client
	round   []string        // candidates that are still to be asked in this round
	named   string          // the leader according to the latest answer; empty if unknown
	silent  map[string]bool // replicas that did not answer last
	asked   map[string]bool // replicas that have not answered yet
	answers chan probe
}

// record takes an answer and reports whether it comes from the leader. A leader that the
// answer names is asked at once.
func (r *prober) record(ctx context.Context, answer probe) bool {
	delete(r.asked, answer.address)
	r.silent[answer.address] = answer.leadership == nil
	if answer.leadership == nil {
		return false
	}
	r.client.setMembers(answer.leadership.GetReplicas())
	if !answer.leadership.GetNotLeader() {
		return true
	}
	leader := answer.leadership.GetLeaderAddress()
	if leader != r.named && leader != answer.address && r.mayAsk(leader) {
		r.ask(ctx, leader)
	}
	r.named = leader
	return false
}

// mayAsk reports whether a replica that answers, as far as is known, can be asked now.
func (r *prober) mayAsk(address string) bool {
	return address != "" && !r.asked[address] && !r.silent[address]
}

// askNext asks the named leader, or else the next candidate that has no question open.
func (r *prober) askNext(ctx context.Context) {
	if r.mayAsk(r.named) {
		r.ask(ctx, r.named)
		return
	}
	if len(r.round) == 0 {
		r.round = r.client.candidates(r.silent)
	}
	for len(r.round) > 0 {
		address := r.round[0]
		r.round = r.round[1:]
		if !r.asked[address] {
			r.ask(ctx, address)
			return
		}
	}
}

func (r *prober) ask(ctx context.Context, address string) {
	r.asked[address] = true
	go func() {
		answer := probe{address, r.client.askLeadership(ctx, address)}
		select {
		case r.answers <- answer:
		case <-ctx.Done():
		}
	}()
}

// askLeadership asks a replica whether it leads. It returns nil if there is no answer.
func (c *Client) askLeadership(ctx context.Context, address string) *workloadv1.Leadership {
	resp, err := attemptQuery(ctx, c, address, workloadv1connect.WorkloadQueryServiceClient.Find, &workloadv1.FindRequest{})
	switch {
	case err == nil:
		return resp.GetLeadership()
	case connect.CodeOf(err) == connect.CodeUnimplemented:
		return c.askByProposal(ctx, address) // a site without workloads does not serve the query
	}
	return nil
}

// askByProposal asks a replica whether it leads by a proposal without commands.
func (c *Client) askByProposal(ctx context.Context, address string) *workloadv1.Leadership {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	resp, err := replicav1connect.NewReplicaCommandServiceClient(c.http, "http://"+address).Propose(ctx, connect.NewRequest(&replicav1.ProposeRequest{}))
	if err != nil {
		return nil
	}
	return &workloadv1.Leadership{NotLeader: resp.Msg.GetNotLeader(), LeaderAddress: resp.Msg.GetLeaderAddress()}
}
