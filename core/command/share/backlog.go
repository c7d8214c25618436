package share

import (
	"time"

	"lacewingturn.example/core/model"
)

// Backlogs holds the work of each account that has not ended yet, for the decision whether
// one more workload could start in time. Admission builds it once for many submissions.
type Backlogs struct {
	catalog  *model.Catalog
	accounts map[model.AccountName]*backlog
}

// backlog is the work of one account. Work is a need times a run time, in milliseconds.
type backlog struct {
	lasting model.Resources // need of lasting tasks, which use their part of the cap for good
	work    workload        // of the other tasks that are not done
	waiting int             // workloads of which nothing has started
}

// workload is work in each kind of resource; floating point, because products of the needs
// and run times that callers declare may be very large.
type workload struct{ milliCPU, memoryMB, accelerators float64 }

func (w *workload) add(need model.Resources, tasks int, estimate time.Duration) {
	times := float64(tasks) * float64(estimate) / float64(time.Millisecond)
	w.milliCPU += float64(need.MilliCPU) * times
	w.memoryMB += float64(need.MemoryMB) * times
	w.accelerators += float64(need.Accelerators) * times
}

// NewBacklogs returns the backlogs of the accounts in the catalog; nil if it has none.
func NewBacklogs(s model.State) *Backlogs {
	if s.Catalog == nil || len(s.Catalog.Accounts) == 0 {
		return nil
	}
	b := &Backlogs{catalog: s.Catalog, accounts: make(map[model.AccountName]*backlog, len(s.Catalog.Accounts))}
	for _, a := range s.Catalog.Accounts {
		b.accounts[a.Name] = &backlog{}
	}
	for _, w := range s.Workloads.All() {
		if account := b.accounts[w.Account]; account != nil {
			account.add(&w)
		}
	}
	return b
}

func (b *backlog) add(w *model.Workload) {
	started := false
	for i := range w.Rounds {
		for j := range w.Rounds[i].Steps {
			step, spec := &w.Rounds[i].Steps[j], &w.Steps[j]
			started = started || step.Done > 0
			for k := range step.Tasks {
				started = started || step.Tasks[k].LastRun > 0
			}
			if spec.Lasting {
				b.lasting = b.lasting.Add(spec.Need.Times(len(step.Tasks)))
				continue
			}
			b.work.add(spec.Need, len(step.Tasks)-step.Done, spec.Estimate)
		}
	}
	if !started {
		b.waiting++
	}
}

// Delay returns how long a workload that is submitted now waits because of earlier work of
// its own account: the time in which the account's cap lets the earlier work run and, if the
// fleet is full of work within the rates of accounts, the time in which the account's rate
// releases the workloads that wait. It is 0 for work of no account. The account may come
// back after this time.
func (b *Backlogs) Delay(name model.AccountName, full bool) time.Duration {
	if b == nil || b.accounts[name] == nil {
		return 0
	}
	account, _ := b.catalog.Account(name)
	earlier := b.accounts[name]
	delay := earlier.capDelay(account.Cap)
	if full && account.Rate > 0 {
		delay = max(delay, float64(earlier.waiting)/account.Rate*1000)
	}
	return time.Duration(min(delay, float64(maxDelay/time.Millisecond))) * time.Millisecond
}

// maxDelay limits a delay, which can be unbounded if lasting tasks use the whole cap.
const maxDelay = time.Hour

// capDelay returns the time in milliseconds in which the cap lets the work run.
func (b *backlog) capDelay(limit model.Resources) float64 {
	ratio := func(limit, lasting int64, work float64) float64 {
		if limit == 0 || work == 0 {
			return 0
		}
		return work / max(float64(limit-lasting), 1)
	}
	return max(ratio(limit.MilliCPU, b.lasting.MilliCPU, b.work.milliCPU), ratio(limit.MemoryMB, b.lasting.MemoryMB, b.work.memoryMB),
		ratio(limit.Accelerators, b.lasting.Accelerators, b.work.accelerators))
}
