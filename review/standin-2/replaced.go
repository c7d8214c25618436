package main

import (
	"errors"
	"time"
)

// Times of the replacements. A removed machine counts as lost until its successor has had
// catch_up_s (4 s), so that at most one machine is lost at any moment.
const (
	turnTime     = 5 * time.Second  // between two replacements of the additional machine
	settleTime   = 12 * time.Second // recovery_s; after the replacement of a first machine
	successorGap = 2 * time.Second  // from the removal of a first machine until its successor starts
	readTime     = 4 * time.Second  // for which the operator reads the configuration at the end
)

// fourthMachines is the number of machines that take the fourth place in turn, so that there are
// eight replacements.
const fourthMachines = 9

// replacedCore replaces machines of the core one after the other, each by an empty one at another
// address, as the site's replace_core does. The disruption is a fourth machine with a disk that is
// replaced again and again. Two of the first three are replaced after that, in both variants.
func replacedCore(st *stage) (int, error) {
	if err := st.begin(3, 1, 2); err != nil {
		return notRun, err
	}
	if st.trouble {
		if err := st.replaceFourth(); err != nil {
			return notRun, err
		}
	}
	if !st.operator.publish(2, 4*time.Second) {
		return notRun, errors.New("the second configuration was not acknowledged")
	}
	for n := range 2 {
		if err := st.replaceFirst(st.site.list()[n], 101+n); err != nil {
			return notRun, err
		}
	}
	return st.judgeConfiguration(2)
}

// replaceFourth adds a machine and replaces it: the new one comes first, then the old one leaves.
func (st *stage) replaceFourth() error {
	var old *machine
	for n := range fourthMachines {
		next, err := st.addMachine(11 + n)
		if err != nil {
			return err
		}
		if err := st.sleep(turnTime / 2); err != nil {
			return err
		}
		if old != nil {
			st.rec.add(old.name, "removed for good", nil)
			go old.term() // its successor runs already
		}
		if err := st.sleep(turnTime / 2); err != nil {
			return err
		}
		old = next
	}
	return nil
}

// replaceFirst removes a machine for good; its successor has an empty disk and another address.
func (st *stage) replaceFirst(old *machine, number int) error {
	st.rec.add(old.name, "removed for good", nil)
	old.term()
	if err := st.sleep(successorGap); err != nil {
		return err
	}
	if _, err := st.addMachine(number); err != nil {
		return err
	}
	return st.sleep(settleTime)
}

// addMachine starts a machine with an empty disk. Its seeds are three of those that run.
func (st *stage) addMachine(number int) (*machine, error) {
	s := st.site
	s.seeds = nil
	for _, m := range s.list() {
		if m.control.Load().running() && len(s.seeds) < 3 {
			s.seeds = append(s.seeds, m.ip)
		}
	}
	m := s.add(number, true, false)
	return m, m.start()
}

// judgeConfiguration judges the rule CONFIG: "Read back at the end of the day, the configuration
// is older than the newest acknowledged version, ... or doesn't come."
func (st *stage) judgeConfiguration(acknowledged int) (int, error) {
	for end := time.Now().Add(readTime); time.Now().Before(end); {
		if st.operator.version() >= acknowledged {
			return held, nil
		}
		if err := st.sleep(100 * time.Millisecond); err != nil {
			return notRun, err
		}
	}
	return broken, nil
}
