// Command standin runs one case of the review: it starts the programs of the deploy
// file as separate processes on loopback addresses, plays the platform, the clients and
// the workers for them, and checks one rule. It exits with 0 if the rule held, 1 if it
// was broken and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// record writes what was sent, answered and run to the record file.
type record struct {
	mu     sync.Mutex
	file   *os.File
	start  time.Time
	broken []string
	closed bool
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// breach records that a rule was broken.
func (r *record) breach(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.log("BROKEN %s", text)
	r.mu.Lock()
	r.broken = append(r.broken, text)
	r.mu.Unlock()
}

func (r *record) breaches() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.broken)
}

// notRun ends the case because its preconditions did not come about.
type notRun struct{ text string }

func fail(format string, args ...any) { panic(notRun{fmt.Sprintf(format, args...)}) }

func main() {
	name := flag.String("case", "", "name of the case")
	out := flag.String("record", "record.txt", "file that the record is written to")
	root := flag.String("root", ".", "root of the repository")
	flag.Parse()
	os.Exit(run(*name, *out, *root, os.Getenv("TROUBLE") != "0"))
}

func run(name, out, root string, trouble bool) (code int) {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitNotRun
	}
	file, err := os.Create(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer file.Close()
	rec := &record{file: file, start: time.Now()}
	rec.log("case %s, trouble %t", name, trouble)
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(folder)
	s := &site{rec: rec, root: root, folder: folder, trouble: trouble}
	defer s.stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan int, 1)
	go func() {
		defer func() {
			if e := recover(); e != nil {
				rec.log("the case could not run: %v", e)
				fmt.Fprintln(os.Stderr, e)
				done <- exitNotRun
			}
		}()
		play(s)
		done <- exitHeld
	}()
	select {
	case code = <-done:
	case <-interrupted:
		code = exitNotRun
	case <-time.After(115 * time.Second):
		rec.log("the case did not end in time")
		code = exitNotRun
	}
	if code == exitHeld && rec.breaches() > 0 {
		code = exitBroken
	}
	rec.log("exit %d, %d breaches", code, rec.breaches())
	rec.mu.Lock()
	rec.closed = true
	rec.mu.Unlock()
	fmt.Printf("%s trouble=%t exit=%d breaches=%d\n", name, trouble, code, rec.breaches())
	return code
}

// command returns the words of the run line of a role in the deploy file.
func command(root, role string) []string {
	data, err := os.ReadFile(filepath.Join(root, "deploy/system.toml"))
	if err != nil {
		fail("%v", err)
	}
	m := regexp.MustCompile(`(?ms)^\[roles\.` + role + `\].*?^run = "([^"]*)"`).FindSubmatch(data)
	if m == nil {
		fail("no run line for %s in deploy/system.toml", role)
	}
	return regexp.MustCompile(` +`).Split(string(m[1]), -1)
}

// process is one program of the system.
type process struct {
	name string
	argv []string
	root string
	boot string
	log  *os.File
	cmd  *exec.Cmd
	done chan struct{}
}

func (p *process) start() {
	cmd := exec.Command(filepath.Join(p.root, p.argv[0]), p.argv[1:]...)
	cmd.Dir = p.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LACEWINGTURN_BOOT=" + p.boot}
	cmd.Stdout, cmd.Stderr = p.log, p.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		fail("%s: %v", p.name, err)
	}
	done := make(chan struct{})
	go func() { _ = cmd.Wait(); close(done) }()
	p.cmd, p.done = cmd, done
}

func (p *process) signal(sig syscall.Signal) { _ = p.cmd.Process.Signal(sig) }

func (p *process) kill() {
	if p.cmd != nil {
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}
