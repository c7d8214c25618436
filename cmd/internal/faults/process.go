// Package faults runs sites of real processes on loopback and breaks them, for
// the end-to-end failure tests: signals to its own processes, lost folders, and
// relays that make chosen connections silent.
package faults

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
)

// Binary builds lacewingturnd once in each test run and returns its path.
// RemoveBinary deletes it.
var Binary = sync.OnceValues(func() (string, error) {
	folder, err := os.MkdirTemp("", "lacewingturn-faults-")
	if err != nil {
		return "", err
	}
	path := filepath.Join(folder, "lacewingturnd")
	if out, err := exec.Command("go", "build", "-o", path, "lacewingturn.example/cmd/lacewingturnd").CombinedOutput(); err != nil {
		return path, fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
})

// RemoveBinary deletes what Binary built.
func RemoveBinary() {
	if path, _ := Binary(); path != "" {
		_ = os.RemoveAll(filepath.Dir(path))
	}
}

// Process is one lacewingturnd. It can be started again after it has ended.
type Process struct {
	Name string
	// Address is that for callers and targets, or for operators.
	Address string
	// Folder is the data folder of a control replica.
	Folder string

	t    testing.TB
	args []string
	env  []string
	pids *PIDs // of all processes of the site
	cmd  *exec.Cmd
	log  *buffer
	done chan struct{}
	err  error // how the process ended; read after done
}

// PIDs holds the ids of the processes that run. It may be used by several goroutines.
type PIDs struct{ running sync.Map }

// List returns the ids.
func (p *PIDs) List() (out []int) {
	p.running.Range(func(pid, _ any) bool {
		out = append(out, pid.(int))
		return true
	})
	return out
}

// NewProcess returns a process that has not been started, with its arguments and
// with variables of its environment. While it runs its id is among the pids.
func NewProcess(t testing.TB, name string, pids *PIDs, env []string, args ...string) *Process {
	return &Process{Name: name, t: t, args: args, env: env, pids: pids, log: &buffer{}}
}

// Running reports whether the process was started and has not ended.
func (p *Process) Running() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Start runs the process with the settings it had before.
func (p *Process) Start() {
	p.t.Helper()
	binary, err := Binary()
	if err != nil {
		p.t.Fatal(err)
	}
	cmd, done := exec.Command(binary, p.args...), make(chan struct{})
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if p.env != nil {
		cmd.Env = append(os.Environ(), p.env...)
	}
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.pids.running.Store(cmd.Process.Pid, true)
	p.cmd, p.done = cmd, done
	go func() {
		p.err = cmd.Wait()
		p.pids.running.Delete(cmd.Process.Pid)
		close(done)
	}()
}

// PID returns the id of the process, which must have been started.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal unless the process has ended.
func (p *Process) Signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatalf("%s: %v: %v", p.Name, s, err)
	}
}

// Kill ends the process at once; it may be frozen or have ended.
func (p *Process) Kill() {
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Wait returns how the process ended.
func (p *Process) Wait() error {
	<-p.done
	return p.err
}

// Log returns what the process and its former lives have logged.
func (p *Process) Log() string { return p.log.String() }

// buffer collects output that is read while it is written.
type buffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}

// Ports below the range from which the kernel draws those of outgoing
// connections, so that none of these can take a port before its listener does.
const (
	firstPort = 12000
	portCount = 18000
)

var port atomic.Uint32

func init() { port.Store(rand.Uint32N(portCount)) }

// FreeAddress returns a loopback address that is not in use. No address is
// returned twice in one run. It connects instead of listening, because a process
// that is being started holds the listeners of its parent until it is executed,
// so that the address would stay in use for a moment.
func FreeAddress(t testing.TB) string {
	t.Helper()
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+port.Add(1)%portCount)
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return address
		}
		_ = conn.Close()
	}
	t.Fatal("no free port")
	return ""
}
