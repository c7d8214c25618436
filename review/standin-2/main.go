// Command standin-2 plays one case of the review: it starts the processes of a small deployment
// on loopback, and plays its workers, clients, operator and platform.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// caseLimit ends a case that takes too long.
const caseLimit = 115 * time.Second

var cases = map[string]func(*stage) (int, error){
	"wide-job":      wideJob,
	"large-answer":  largeAnswer,
	"replaced-core": replacedCore,
	"memory":        scheduledMemory,
	"short-tasks":   shortTasks,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE REPOSITORY RECORD")
		os.Exit(notRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, root, path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	ctx, cancelTime := context.WithTimeout(ctx, caseLimit)
	defer cancelTime()
	st := &stage{ctx: ctx, rec: rec, root: root, trouble: os.Getenv("TROUBLE") != "0"}
	defer st.close()
	code, err := cases[name](st)
	if err != nil {
		rec.add("case", "could not run", err.Error())
		fmt.Println("not run:", err)
		return notRun
	}
	verdict := map[int]string{held: "held", broken: "BROKEN", notRun: "not run"}[code]
	rec.add("case", verdict, nil)
	fmt.Println(verdict)
	return code
}
