package faults

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Direction of the bytes on a connection; directions combine with |.
type Direction uint8

// Directions seen from the process that opened the connection.
const (
	ToServer Direction = 1 << iota
	ToClient
	Both = ToServer | ToClient
)

// Relay forwards TCP connections and can go silent without closing them. Bytes
// of a silent connection are held, as a network that drops packets does, so that
// a connection continues whole after the fault has ended.
type Relay struct {
	listener net.Listener
	server   string
	clients  func() []int // process ids that connections are told apart by
	done     chan struct{}
	all      sync.WaitGroup

	mu      sync.Mutex // guards the fields below; a test helper holds no control state
	cut     map[int]Direction
	cutAll  Direction
	delay   time.Duration
	links   map[*link]bool
	changed chan struct{} // closed at each change of the faults
}

// link is one connection through the relay.
type link struct {
	client, server net.Conn
	pid            int // process that opened the connection; 0 if it is not known
	silent         bool
}

// NewRelay listens on address and forwards to server.
func NewRelay(address, server string, clients func() []int) (*Relay, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &Relay{
		listener: l, server: server, clients: clients, done: make(chan struct{}),
		cut: map[int]Direction{}, links: map[*link]bool{}, changed: make(chan struct{}),
	}
	r.all.Go(r.accept)
	return r, nil
}

// Address returns the address that the relay listens on.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Cut silences all connections, those opened later included, in the direction.
func (r *Relay) Cut(d Direction) { r.change(func() { r.cutAll = d }) }

// CutFrom silences the connections that the process opened or will open.
func (r *Relay) CutFrom(pid int, d Direction) { r.change(func() { r.cut[pid] = d }) }

// Heal ends the cuts. Connections silenced by SilenceOpen stay silent.
func (r *Relay) Heal() { r.change(func() { r.cutAll = 0; clear(r.cut) }) }

// SilenceOpen silences the connections that the processes have open now for
// good and returns their number; later ones work. Without an argument it
// silences those of all processes.
func (r *Relay) SilenceOpen(openers ...*Process) (n int) {
	r.change(func() {
		for l := range r.links {
			opened := func(p *Process) bool { return p.PID() == l.pid }
			if len(openers) == 0 || slices.ContainsFunc(openers, opened) {
				l.silent = true
				n++
			}
		}
	})
	return n
}

// Delay holds all bytes for the time from now on.
func (r *Relay) Delay(d time.Duration) { r.change(func() { r.delay = d }) }

// ResetOpen resets the connections that are open now.
func (r *Relay) ResetOpen() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		reset(l.client)
		reset(l.server)
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // without it the close is orderly, which is milder
	}
	_ = c.Close()
}

// Close ends the relay and its connections.
func (r *Relay) Close() {
	close(r.done)
	_ = r.listener.Close()
	r.mu.Lock()
	for l := range r.links {
		_ = l.client.Close()
		_ = l.server.Close()
	}
	r.mu.Unlock()
	r.all.Wait()
}

func (r *Relay) change(apply func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	apply()
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *Relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.all.Go(func() { r.serve(conn) })
	}
}

func (r *Relay) serve(conn net.Conn) {
	defer conn.Close()
	server, err := net.Dial("tcp", r.server)
	if err != nil {
		return
	}
	defer server.Close()
	l := &link{client: conn, server: server, pid: opener(conn, r.clients())}
	r.mu.Lock()
	r.links[l] = true
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.links, l)
		r.mu.Unlock()
	}()
	select {
	case <-r.done:
		return
	default:
	}
	var pumps sync.WaitGroup
	pumps.Go(func() { r.pump(l, server, conn, ToServer) })
	pumps.Go(func() { r.pump(l, conn, server, ToClient) })
	pumps.Wait()
}

// pump forwards one direction. The end of a connection is held like its bytes.
func (r *Relay) pump(l *link, to, from net.Conn, d Direction) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if !r.pass(l, d) || !r.hold() {
			return
		}
		if _, failed := to.Write(buffer[:n]); err != nil || failed != nil {
			_ = l.client.Close()
			_ = l.server.Close()
			return
		}
	}
}

// pass waits until the direction is not silent; it reports false when the relay ends.
func (r *Relay) pass(l *link, d Direction) bool {
	for {
		r.mu.Lock()
		silent := l.silent || (r.cutAll|r.cut[l.pid])&d != 0
		changed := r.changed
		r.mu.Unlock()
		if !silent {
			return true
		}
		select {
		case <-changed:
		case <-r.done:
			return false
		}
	}
}

// hold waits for the delay; it reports false when the relay ends.
func (r *Relay) hold() bool {
	r.mu.Lock()
	delay := r.delay
	r.mu.Unlock()
	if delay == 0 {
		return true
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.done:
		return false
	}
}

// opener finds which of the processes opened a connection: all of them have the
// same IP address, and ports are chosen by the kernel.
func opener(conn net.Conn, pids []int) int {
	inode := socketOf(conn.RemoteAddr().(*net.TCPAddr).Port, conn.LocalAddr().(*net.TCPAddr).Port)
	if inode == "" {
		return 0
	}
	for _, pid := range pids {
		folder := fmt.Sprintf("/proc/%d/fd", pid)
		files, _ := os.ReadDir(folder)
		for _, f := range files {
			if to, _ := os.Readlink(folder + "/" + f.Name()); to == "socket:["+inode+"]" {
				return pid
			}
		}
	}
	return 0
}

// socketOf returns the inode of the socket with the ports, from the kernel's table.
func socketOf(local, remote int) string {
	table, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer table.Close()
	for lines := bufio.NewScanner(table); lines.Scan(); {
		f := strings.Fields(lines.Text())
		if len(f) > 9 && portOf(f[1]) == local && portOf(f[2]) == remote {
			return f[9]
		}
	}
	return ""
}

func portOf(address string) int {
	_, port, _ := strings.Cut(address, ":")
	n, err := strconv.ParseUint(port, 16, 16)
	if err != nil {
		return -1
	}
	return int(n)
}
