package command

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"time"

	"lacewingturn.example/core/model"
)

// checkTimeout bounds a health check, including the dial.
const checkTimeout = 500 * time.Millisecond

// check reports whether the target sends any HTTP response on a new connection.
func (p *connPool) check(ctx context.Context, d destination) bool {
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

// replaceConnections drops the connections to a target, so that its next request
// uses a new one. Requests in flight keep their connections.
func (p *connPool) replaceConnections(d destination) {
	if tp, ok := p.targets.LoadAndDelete(keyOf(d)); ok {
		tp.(*targetPool).transport.CloseIdleConnections()
	}
}

// limitConnections sets how many connections to a target may be open, given the
// slots that this instance holds. It closes the idle ones if more are open.
func (p *connPool) limitConnections(d destination, slots int) {
	tp := p.forTarget(d)
	n := int32(baseShare(int(p.members.Load())) + slots)
	tp.limit.Store(n)
	if tp.open.Load() > n {
		tp.transport.CloseIdleConnections()
	}
}

// retain closes the idle connections to targets, or generations of targets, that
// are not in the given map. It stores the number of entry members, from which later
// connection limits are derived.
func (p *connPool) retain(targets map[model.TargetID]destination, members int) {
	p.members.Store(int32(members))
	p.targets.Range(func(k, tp any) bool {
		key := k.(targetPoolKey)
		if d, ok := targets[key.id]; !ok || keyOf(d) != key {
			p.targets.Delete(k)
			tp.(*targetPool).transport.CloseIdleConnections()
		}
		return true
	})
}

func keyOf(d destination) targetPoolKey { return targetPoolKey{d.id, d.generation, d.address} }
