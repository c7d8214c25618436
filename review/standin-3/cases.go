package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	contact = 3 * time.Second  // contact_ms
	finish  = 14 * time.Second // finish_s
	stalled = 3 * time.Second  // of the rule LOST
)

// returnedMachine: the leader is killed before the answer to its order for upkeep has come.
// The machine comes back, and a job that only its worker can run is handed in.
func returnedMachine(s *scene) (int, error) {
	s.platform.answerDelay = time.Second
	var once sync.Once
	s.platform.ordered = func(holder, _ string) {
		once.Do(func() {
			if m := s.site.byName(holder); s.trouble && m != nil {
				_ = s.site.killControl(m) // seen in the record
			}
		})
	}
	if err := s.startWave(1, 20*time.Second, "m-01"); err != nil {
		return notRun, err
	}
	if err := s.until(30*time.Second, "the wave is said to be completed", s.waveCompleted); err != nil {
		return notRun, err
	}
	time.Sleep(2*contact + time.Second)
	w := s.platform.workerOf("m-01")
	answered, leases, _, _ := w.counts()
	s.record.add("%v", w)
	id := s.submit(1, 1000, 500*time.Millisecond, lonelyRack)
	time.Sleep(finish)
	state := s.state(id)
	s.record.add("client: %v after the last call job %s is %q", finish, id, state)
	time.Sleep(stalled)
	state = s.state(id)
	s.record.add("client: %v later job %s is %q", stalled, id, state)
	s.record.add("%v", w)
	answeredAfter, leasesAfter, _, _ := w.counts()
	if answeredAfter == answered {
		s.record.add("the worker's heartbeats are not answered any more")
	}
	if state == "completed" {
		return held, nil
	}
	s.record.add("BROKEN: LOST: job %s has nothing running although its turn has come; the worker on m-01, with the label and %d cores free, had %d heartbeats answered meanwhile, %d of them with hold_ms",
		id, capacityMilli/1000, answeredAfter-answered, leasesAfter-leases)
	return broken, nil
}

// lateOrder: the platform cannot be reached for outage, and the leader that has sent an order
// for upkeep meanwhile is killed. Its successor maintains another machine of the wave.
func lateOrder(s *scene) (int, error) {
	const (
		outage    = 5 * time.Second
		killAfter = 300 * time.Millisecond
	)
	var once sync.Once
	s.link.sent = func(first []byte) {
		if !bytes.Contains(first, []byte("machine-upkeep")) {
			return
		}
		s.record.add("an order for upkeep is on its way: %q", headerOf(first, "Duty-Holder")+" token "+headerOf(first, "Fencing-Token"))
		once.Do(func() {
			go func() {
				time.Sleep(killAfter)
				if m := s.site.byName(headerOf(first, "Duty-Holder")); m != nil {
					go func() { _ = s.site.killControl(m) }() // seen in the record
				}
				s.submit(1, 1000, 8*time.Second, lonelyRack)
			}()
		})
	}
	time.Sleep(time.Second)
	if s.trouble {
		s.link.cut(outage)
	}
	if err := s.startWave(1, 30*time.Second, "m-01", "m-02"); err != nil {
		return notRun, err
	}
	if err := s.until(40*time.Second, "the wave is said to be completed", s.waveCompleted); err != nil {
		return notRun, err
	}
	time.Sleep(8 * time.Second)
	if len(s.platform.violations()) > 0 {
		return broken, nil
	}
	return held, nil
}

// headerOf returns the value of a header in the head of a request.
func headerOf(head []byte, name string) string {
	_, rest, _ := bytes.Cut(head, []byte(name+": "))
	value, _, _ := bytes.Cut(rest, []byte("\r\n"))
	return string(value)
}

// adviceTaken: on a queue with advice a burst of jobs waits for the only worker of a rack, which
// is at work. Other jobs, for which eight workers are idle, are handed in after them.
func adviceTaken(s *scene) (int, error) {
	const (
		waiting    = 30
		burst      = 4 * time.Second
		others     = 10
		othersTime = 5 * time.Second
	)
	s.submit(1, capacityMilli, 90*time.Second, lonelyRack)
	w := s.platform.workerOf("m-01")
	if err := s.until(10*time.Second, "the worker of the rack is full", func() bool { _, _, _, running := w.counts(); return running == 1 }); err != nil {
		return notRun, err
	}
	if s.trouble {
		for range waiting {
			s.submit(1, 1000, time.Second, lonelyRack)
			time.Sleep(burst / waiting)
		}
	}
	var ids []string
	for range others {
		ids = append(ids, s.submit(1, 1000, 500*time.Millisecond, ""))
		time.Sleep(othersTime / others)
	}
	time.Sleep(finish + stalled)
	stuck := 0
	for _, id := range ids {
		state := s.state(id)
		s.record.add("client: %v after the last call job %s, which any worker can run, is %q", finish+stalled, id, state)
		if state != "completed" {
			stuck++
		}
	}
	s.record.add("advice: %d calls in all", s.advice.calls)
	if stuck == 0 {
		return held, nil
	}
	s.record.add("BROKEN: LOST: %d jobs have nothing running although their turn has come and eight of nine workers are idle", stuck)
	return broken, nil
}

// paceLost: under load a task that fills is slowed down step by step. The answer that would
// pause it is lost, because nothing comes back to the worker for cutTime.
func paceLost(s *scene) (int, error) {
	const (
		cutTime    = 1500 * time.Millisecond
		cutAfter   = 850 * time.Millisecond // from the first slowing down; the pause comes after 1 s
		loadTime   = 20 * time.Second
		disruption = 4 * time.Second // disruption_ms
	)
	w := s.platform.workerOf("m-01")
	s.handIn(fmt.Sprintf("%016x", rand.Uint64()), "1h 4000 "+serve, map[string]any{
		"count": 1, "cpu_millis": 4000, "mem_mb": 64, "estimate_ms": 1000, "long_running": true, "missable": 1, "image": "a", "target_ms": tailTarget, "requirements": lonelyRack,
	})
	s.handIn(fmt.Sprintf("%016x", rand.Uint64()), "1h 2000 "+fill, map[string]any{
		"count": 1, "cpu_millis": 2000, "mem_mb": 64, "estimate_ms": 1000, "long_running": true, "missable": 1, "image": "b", "fills": true, "requirements": lonelyRack,
	})
	if err := s.until(15*time.Second, "both tasks are at work", func() bool { _, _, _, running := w.counts(); return running == 2 }); err != nil {
		return notRun, err
	}
	time.Sleep(2 * contact)
	w.setLoaded(true)
	s.record.add("the serving task is under load")
	began := time.Now()
	if s.trouble {
		if err := s.until(5*time.Second, "the task that fills is slowed down", func() bool { _, percent := w.harm(); return percent < 100 }); err != nil {
			return notRun, err
		}
		time.Sleep(cutAfter)
		s.record.add("nothing comes back to worker %s", w.id)
		s.cutAnswers(true)
		time.Sleep(cutTime)
		s.cutAnswers(false)
		s.record.add("the path to worker %s is whole", w.id)
	}
	calm := time.Now().Add(contact)
	var over time.Time // since when the serving task is over its target beside a task that works
	for time.Since(began) < loadTime {
		time.Sleep(20 * time.Millisecond)
		ms, percent := w.harm()
		switch {
		case time.Now().Before(calm) || ms <= tailTarget || percent == 0:
			over = time.Time{}
		case over.IsZero():
			over = time.Now()
		case time.Since(over) > disruption:
			s.record.add("%v", w)
			s.record.add("BROKEN: HARM: for %v on end, %v after the path is whole, the serving task has a tail of %d ms against a target of %d, and the task that fills works on at %d%%; without it the tail would be %d ms",
				disruption, contact, ms, tailTarget, percent, tail(true, 0))
			return broken, nil
		}
	}
	return held, nil
}

// cutAnswers cuts the answers to the worker of the lonely rack, or lets them pass again.
func (s *scene) cutAnswers(cut bool) {
	for _, a := range s.paths {
		a.setCut(cut)
	}
}

// wipes: one machine after the other loses its disk, each the one that leads. Each is back at
// once, and the next one is lost only when the one before has been back for catch_up_s.
func wipes(s *scene) (int, error) {
	const (
		most     = 16
		downTime = 100 * time.Millisecond
		catchUp  = 4 * time.Second // catch_up_s
		margin   = 200 * time.Millisecond
		recovery = 12 * time.Second // recovery_s
	)
	id := s.submit(1, 1000, 200*time.Millisecond, "")
	w := s.platform.workerOf("m-02")
	for n := 1; s.trouble && n <= most; n++ {
		if err := s.until(3*time.Second, "a leader answers a worker", func() bool { return s.site.byControl(w.leader()) != nil }); err != nil {
			s.record.add("no leader answers the worker %s any more", w.id)
			break
		}
		s.record.add("loss %d", n)
		if err := s.site.restartControl(s.site.byControl(w.leader()), downTime, true); err != nil {
			return notRun, err
		}
		time.Sleep(catchUp + margin)
	}
	for end := time.Now().Add(recovery + contact); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		status, _ := s.call(http.MethodGet, s.pick(s.site.seeds()), "/lacewingturn/config", nil)
		state := s.state(id)
		if status == http.StatusOK && state != "" {
			s.record.add("the configuration is read back, and job %s is %q", id, state)
			return held, nil
		}
	}
	s.record.add("BROKEN: LOST: for %v after the last machine was back nobody gives the acknowledged configuration, nor the state of the accepted job %s", recovery+contact, id)
	return broken, nil
}
