// Package faults runs sites of real processes on loopback and injects faults for
// the end-to-end failure tests: it sends signals to its own processes, deletes data
// folders, and puts relays in front of processes that can silence connections.
package faults

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
)

// Binary builds lacewingturnd once in each test run and returns the path of the binary.
// The error contains the output of the compiler.
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

// RemoveBinary deletes the binary; TestMain calls it after the tests.
func RemoveBinary() {
	if path, _ := Binary(); path != "" {
		_ = os.RemoveAll(filepath.Dir(path))
	}
}

// Process runs one lacewingturnd, which can be restarted after it has ended.
type Process struct {
	Name string
	// Address serves callers and targets on an entry instance, and operators on a
	// control replica.
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

// PIDs is the set of ids of the running processes of a site. It is safe for
// concurrent use.
type PIDs struct{ running sync.Map }

// List returns the ids in no particular order.
func (p *PIDs) List() (out []int) {
	p.running.Range(func(pid, _ any) bool {
		out = append(out, pid.(int))
		return true
	})
	return out
}

// NewProcess returns a process that has not been started. args are its arguments;
// env is added to the environment of the test. While the process runs, pids contains
// its id.
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

// Start starts the process, or restarts it after it has ended, with the same arguments
// and environment. It fails the test if the binary cannot be built or started.
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

// PID returns the process id of the latest start. The process must have been started.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// PeakMemoryMB returns the largest resident memory of the process since its start.
func (p *Process) PeakMemoryMB() (int, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		return 0, err
	}
	_, rest, found := strings.Cut(string(status), "VmHWM:")
	if !found {
		return 0, fmt.Errorf("no peak memory in the status of %s", p.Name)
	}
	kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
	return kilobytes >> 10, err
}

// Signal sends a signal and fails the test if the process has ended.
func (p *Process) Signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatalf("%s: could not send signal %v: %v", p.Name, s, err)
	}
}

// Kill sends SIGKILL and waits for the end of the process. It also works on a process
// that is frozen, has ended or was never started.
func (p *Process) Kill() {
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Wait waits for the end of the process. The error is nil if its exit status was 0.
func (p *Process) Wait() error {
	<-p.done
	return p.err
}

// Log returns the output of the process since its first start, restarts included.
func (p *Process) Log() string { return p.log.String() }

// buffer collects output and can be read while it is written.
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

// FreeAddress returns ports below the range from which the kernel takes the ports of
// outgoing connections, so that no outgoing connection takes a port before its listener
// does.
const (
	firstPort = 12000
	portCount = 18000
)

var port atomic.Uint32

func init() { port.Store(rand.Uint32N(portCount)) }

// FreeAddress returns a loopback address that is not in use. Within one test run it
// returns no address twice. It checks an address by connecting rather than by
// listening, because a child process inherits the listeners of its parent between
// fork and exec, so a closed listener could keep the address in use for a moment.
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
	t.Fatal("no free port on 127.0.0.1 from 12000 to 29999")
	return ""
}
