package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// A team's scheduled job: every five minutes for two months.
const (
	occurrences    = 17280
	interval       = 5 * time.Minute
	scheduledJobs  = 250
	submitTime     = 40 * time.Second // after which no further job is handed in
	firstScheduled = 0xabc000         // its number, as an ID
	fewOccurrences = 5
	memoryCheck    = 100 * time.Millisecond
	restartDelay   = 500 * time.Millisecond
	afterwards     = 25 * time.Second // finish_s is 14 s, recovery_s 12 s
	asks           = 10
	askPause       = time.Second
	coreMembers    = 3
	endsOfMember   = 3
)

// scheduledMemory hands in scheduled jobs of one task. The disruption is their number of
// occurrences. The platform kills a process that uses more than memory_mb, and restarts it.
func scheduledMemory(st *stage) (int, error) {
	if err := st.begin(3, 1, 6); err != nil {
		return notRun, err
	}
	kills := make(chan *machine, 1000)
	go st.limitMemory(kills)
	repeat := fewOccurrences
	if st.trouble {
		repeat = occurrences
	}
	accepted, until := 0, time.Now().Add(submitTime)
	for n := range scheduledJobs {
		if time.Now().After(until) {
			break
		}
		id := fmt.Sprintf("%016x", firstScheduled+n)
		st.known.set(id, 100)
		status := st.caller.try(http.MethodPost, id, map[string]any{
			"spec": "500 scheduled", "repeat_count": repeat, "start_at_ms": time.Now().Add(time.Minute).UnixMilli(), "interval_ms": interval.Milliseconds(),
			"phases": []phase{{Count: 1, CPUMillis: 100, MemMB: 64, EstimateMs: 500}},
		})
		st.rec.add("client", "submitted "+id, map[string]int{"status": status, "occurrences": repeat})
		if status == http.StatusOK {
			accepted++
		}
		if err := st.sleep(50 * time.Millisecond); err != nil {
			return notRun, err
		}
	}
	st.rec.add("case", "accepted jobs", accepted)
	if accepted == 0 {
		return notRun, errors.New("no job was accepted")
	}
	if err := st.sleep(afterwards); err != nil {
		return notRun, err
	}
	return st.judgeMemory(kills)
}

// limitMemory acts as the platform until the case ends.
func (st *stage) limitMemory(kills chan<- *machine) {
	for st.sleep(memoryCheck) == nil {
		for _, m := range st.site.list()[:3] {
			if used := m.control.Load().residentMB(); used > memoryMB {
				st.rec.add("platform", "killed control of "+m.name+": over its memory limit", map[string]int{"memory_mb": used, "limit": memoryMB})
				kills <- m
				go st.restartControl(m)
			}
		}
	}
}

func (st *stage) restartControl(m *machine) {
	_ = m.control.Load().cmd.Process.Kill() // it may have ended meanwhile
	<-m.control.Load().done
	if st.sleep(restartDelay) != nil {
		return
	}
	p, err := m.run("control")
	if err != nil {
		st.rec.add(m.name, "control did not start", err.Error())
		return
	}
	m.control.Store(p)
}

// judgeMemory judges the rule Fault: "on half of the core, processes end by themselves three times
// in the day with no disruption there (memory over the limit counts)".
func (st *stage) judgeMemory(kills <-chan *machine) (int, error) {
	ends := map[string]int{}
	for len(kills) > 0 {
		ends[(<-kills).name]++
	}
	st.rec.add("case", "ends of control processes for memory", ends)
	answered := 0
	for range asks {
		if status, _ := st.caller.state(fmt.Sprintf("%016x", firstScheduled)); status == http.StatusOK {
			answered++
		}
		if err := st.sleep(askPause); err != nil {
			return notRun, err
		}
	}
	st.rec.add("case", fmt.Sprintf("answers with a state to %d questions for the first accepted job", asks), answered)
	members := 0
	for _, n := range ends {
		if n >= endsOfMember {
			members++
		}
	}
	if 2*members >= coreMembers {
		return broken, nil
	}
	return held, nil
}
