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

// Direction is the direction of bytes on a connection; directions combine with |.
type Direction uint8

// Directions as seen from the process that opened the connection.
const (
	ToServer Direction = 1 << iota
	ToClient
	Both = ToServer | ToClient
)

// Relay forwards TCP connections and can silence them without closing them. It holds
// the bytes of a silent connection back and forwards them after the fault has ended,
// so that the connection continues without loss, as TCP does when a network drops
// packets for a time.
type Relay struct {
	listener net.Listener
	server   string
	clients  func() []int // returns the processes that may have opened a connection
	done     chan struct{}
	all      sync.WaitGroup

	mu          sync.Mutex // guards the fields below; test helpers may use a mutex, because they hold no control state
	cut         map[int]Direction
	cutAll      Direction
	delay       time.Duration
	connections map[*connection]bool
	changed     chan struct{} // closed and replaced when the faults change
}

// connection is one connection through the relay.
type connection struct {
	client, server net.Conn
	pid            int // process that opened the connection; 0 if it is not known
	silent         bool
}

// NewRelay returns a relay that listens on address and forwards to server. clients
// returns the ids of the processes that CutFrom and SilenceOpenConnections can tell
// apart. NewRelay returns an error if it cannot listen on address.
func NewRelay(address, server string, clients func() []int) (*Relay, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &Relay{
		listener: l, server: server, clients: clients, done: make(chan struct{}),
		cut: map[int]Direction{}, connections: map[*connection]bool{}, changed: make(chan struct{}),
	}
	r.all.Go(r.accept)
	return r, nil
}

// Address returns the address that the relay listens on.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Cut silences all current and later connections in the direction until Heal.
func (r *Relay) Cut(d Direction) { r.change(func() { r.cutAll = d }) }

// CutFrom silences the current and later connections that the process opens, in the
// direction, until Heal.
func (r *Relay) CutFrom(pid int, d Direction) { r.change(func() { r.cut[pid] = d }) }

// Heal ends the faults of Cut and CutFrom. Connections silenced by
// SilenceOpenConnections stay silent.
func (r *Relay) Heal() { r.change(func() { r.cutAll = 0; clear(r.cut) }) }

// SilenceOpenConnections permanently silences the open connections of the given processes
// and returns the number of these connections; later connections work. Without an argument
// it silences the open connections of all processes.
func (r *Relay) SilenceOpenConnections(openers ...*Process) (n int) {
	r.change(func() {
		for l := range r.connections {
			opened := func(p *Process) bool { return p.PID() == l.pid }
			if len(openers) == 0 || slices.ContainsFunc(openers, opened) {
				l.silent = true
				n++
			}
		}
	})
	return n
}

// Delay delays the bytes of all connections by d from now on; 0 ends the delay.
func (r *Relay) Delay(d time.Duration) { r.change(func() { r.delay = d }) }

// ResetOpenConnections resets the open connections on both sides; later connections work.
func (r *Relay) ResetOpenConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.connections {
		reset(l.client)
		reset(l.server)
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // makes Close send RST instead of FIN
	}
	_ = c.Close()
}

// Close closes the listener and all connections and waits until the relay has ended.
func (r *Relay) Close() {
	close(r.done)
	_ = r.listener.Close()
	r.mu.Lock()
	for l := range r.connections {
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
	l := &connection{client: conn, server: server, pid: openingProcess(conn, r.clients())}
	r.mu.Lock()
	r.connections[l] = true
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.connections, l)
		r.mu.Unlock()
	}()
	select {
	case <-r.done:
		return
	default:
	}
	var directions sync.WaitGroup
	directions.Go(func() { r.forward(l, server, conn, ToServer) })
	directions.Go(func() { r.forward(l, conn, server, ToClient) })
	directions.Wait()
}

// forward copies the bytes of one direction. While the direction is silent, the close
// of the connection is held back like its bytes.
func (r *Relay) forward(l *connection, to, from net.Conn, d Direction) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if !r.awaitOpen(l, d) || !r.awaitDelay() {
			return
		}
		if _, failed := to.Write(buffer[:n]); err != nil || failed != nil {
			_ = l.client.Close()
			_ = l.server.Close()
			return
		}
	}
}

// awaitOpen waits until the direction is not silent. It reports false if the relay is
// closed first.
func (r *Relay) awaitOpen(l *connection, d Direction) bool {
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

// awaitDelay waits for the delay. It reports false if the relay is closed first.
func (r *Relay) awaitDelay() bool {
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

// openingProcess returns the id of the process that opened a connection; 0 if it is
// none of pids. It searches the processes for the socket, because all of them have the
// same IP address and the kernel chooses their ports.
func openingProcess(conn net.Conn, pids []int) int {
	inode := socketInode(conn.RemoteAddr().(*net.TCPAddr).Port, conn.LocalAddr().(*net.TCPAddr).Port)
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

// socketInode returns the inode of the socket with the ports, from the kernel's table
// of TCP sockets; empty if there is none.
func socketInode(local, remote int) string {
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
