package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"lacewingturn.example/node/wait"
)

const (
	// unfinishedPause is the time between two groups of clients that do not finish their
	// requests.
	unfinishedPause = 500 * time.Millisecond
	// unfinishedClients is the number of clients of a group.
	unfinishedClients = 10
	// unfinishedBytes is the length of a request of theirs.
	unfinishedBytes = 64 << 10
)

// leaveUnfinished lets groups of clients send requests that stop short of their end to random
// processes, until ctx ends.
func (s *faultInjector) leaveUnfinished(ctx context.Context, rng *rand.Rand) {
	for wait.Sleep(ctx, unfinishedPause) == nil {
		n := s.nodes[rng.IntN(len(s.nodes))]
		address, begin := n.Callers(), "POST /tickets/00000000000000aa HTTP/1.1\r\nHost: jobs.example\r\n"
		if rng.IntN(2) == 0 {
			address, begin = n.ControlAddress(), "PUT /lacewingturn/config HTTP/1.1\r\nHost: control\r\n"
		}
		request := unfinishedRequest(begin, rng)
		hold := time.Duration(rng.Int64N(int64(maxFault)))
		for range unfinishedClients {
			s.system.all.Go(func() { leaveOpen(ctx, address, request, hold) }) // inject does not wait for them
		}
	}
}

// unfinishedRequest returns a head, a body or chunks that lack their end.
func unfinishedRequest(begin string, rng *rand.Rand) string {
	switch rng.IntN(3) {
	case 0:
		return begin + strings.Repeat("X-Field: value\r\n", unfinishedBytes/16)
	case 1:
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", begin, unfinishedBytes, strings.Repeat(" ", unfinishedBytes-1))
	default:
		return begin + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("10\r\n"+strings.Repeat(" ", 16)+"\r\n", unfinishedBytes/16)
	}
}

// leaveOpen sends a request and holds its connection for a time.
func leaveOpen(ctx context.Context, address, request string, hold time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, hold)
	defer cancel()
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return // the process is not running or refuses connections
	}
	defer c.Close()
	deadline, _ := ctx.Deadline()
	if c.SetWriteDeadline(deadline) != nil {
		return
	}
	_, _ = io.WriteString(c, request) // the process may refuse the request
	<-ctx.Done()
}
