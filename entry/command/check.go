package command

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"time"

	"lacewingturn.example/core/model"
)

// checkTimeout bounds the check of a target on a new connection.
const checkTimeout = 500 * time.Millisecond

// check reports whether the target answers anything on a new connection.
func (p *pool) check(ctx context.Context, d destination) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", d.address)
	if err != nil {
		return false
	}
	defer conn.Close()
	deadline, _ := ctx.Deadline()
	if conn.SetDeadline(deadline) != nil {
		return false
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodHead, "http://"+d.address+"/healthz", nil)
	if err != nil {
		return false
	}
	req.Close = true
	if req.Write(conn) != nil {
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), req)
	if err != nil {
		return false
	}
	return resp.Body.Close() == nil
}

// replace drops the connections of a target, so that its next request uses a
// new one. Requests in flight keep theirs.
func (p *pool) replace(d destination) {
	if l, ok := p.lanes.LoadAndDelete(keyOf(d)); ok {
		l.(*lane).transport.CloseIdleConnections()
	}
}

// allow sets how many connections to a target may be open, given the slots that
// this instance holds, and closes the idle ones if there are more.
func (p *pool) allow(d destination, slots int) {
	l := p.lane(d)
	n := int32(baseShare(int(p.members.Load())) + slots)
	l.allowed.Store(n)
	if l.open.Load() > n {
		l.transport.CloseIdleConnections()
	}
}

// retain closes the idle connections to targets that are gone.
func (p *pool) retain(targets map[model.TargetID]destination, members int) {
	p.members.Store(int32(members))
	p.lanes.Range(func(k, l any) bool {
		key := k.(laneKey)
		if d, ok := targets[key.id]; !ok || keyOf(d) != key {
			p.lanes.Delete(k)
			l.(*lane).transport.CloseIdleConnections()
		}
		return true
	})
}

func keyOf(d destination) laneKey { return laneKey{d.id, d.generation, d.address} }
