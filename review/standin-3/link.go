package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// link is the path between the machines of the system and the platform's interface. While it
// is down nothing passes; what was sent is sent again as TCP does it, after 0.2 s and after
// twice as long each time, and the opening of a connection after 1, 3 and 7 s.
type link struct {
	to       string
	listener net.Listener
	record   *record
	// sent is called with the first bytes that an open connection sends while the link is down.
	sent func(first []byte)

	mu   sync.Mutex
	down bool
	up   chan struct{} // closed while the link is up
}

func newLink(to string, r *record) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	up := make(chan struct{})
	close(up)
	k := &link{to: to, listener: l, record: r, up: up}
	go k.accept()
	return k, nil
}

func (k *link) address() string { return k.listener.Addr().String() }

// cut takes the link down for a time.
func (k *link) cut(d time.Duration) {
	k.mu.Lock()
	k.down, k.up = true, make(chan struct{})
	k.mu.Unlock()
	k.record.add("the link to the platform is down")
	time.AfterFunc(d, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.down = false
		close(k.up)
		k.record.add("the link to the platform is up")
	})
}

func (k *link) isDown() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.down
}

func (k *link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.serve(c)
	}
}

// untilSentAgain waits until something that is sent now passes: at once if the link is up,
// else at the first repetition that finds it up.
func (k *link) untilSentAgain(first time.Duration) {
	sent := time.Now()
	for after, step := time.Duration(0), first; k.isDown(); step *= 2 {
		after += step
		time.Sleep(time.Until(sent.Add(after)))
	}
}

// serve forwards one connection.
func (k *link) serve(c net.Conn) {
	defer c.Close()
	k.untilSentAgain(time.Second) // 1, 3, 7 s
	out, err := net.Dial("tcp", k.to)
	if err != nil {
		return
	}
	defer out.Close()
	go func() {
		_, _ = io.Copy(c, out) // ends with either connection
		c.Close()
	}()
	buffer := make([]byte, 64<<10)
	for {
		n, err := c.Read(buffer)
		if n > 0 {
			if k.isDown() && k.sent != nil {
				k.sent(append([]byte(nil), buffer[:n]...))
			}
			k.untilSentAgain(200 * time.Millisecond) // 0.2, 0.6, 1.4, 3, 6.2 s
			if _, err := out.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if tcp, ok := out.(*net.TCPConn); ok {
				_ = tcp.CloseWrite() // the platform may have closed the connection
			}
			time.Sleep(time.Second) // the platform carries out what it has read
			return
		}
	}
}
