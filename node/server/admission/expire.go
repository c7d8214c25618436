package admission

import "time"

// Reason is the limit that an account has exceeded.
type Reason string

// Reasons; they are labels of a metric.
const (
	HeadSize    Reason = "head size"
	HeadTime    Reason = "head time"
	BodySize    Reason = "body size"
	BodyRate    Reason = "body rate"
	WriteRate   Reason = "response rate"
	IdleTime    Reason = "idle time"
	Memory      Reason = "memory"
	Connections Reason = "connections"
)

// Expired is an account that has exceeded a limit of time.
type Expired struct {
	Account *Account
	Reason  Reason
}

// Expire closes the accounts that have exceeded a limit of time and returns them.
func (t *Table) Expire(now time.Time) (out []Expired) {
	for a := range t.accounts {
		limit, reason := a.deadline()
		if limit > 0 && a.lag(now) > limit {
			out = append(out, Expired{a, reason})
		}
	}
	for _, e := range out {
		t.Close(e.Account)
	}
	return out
}

// deadline returns the limit of time in the present phase; 0 for none.
func (a *Account) deadline() (time.Duration, Reason) {
	l := a.listener.Limits
	switch a.phase {
	case Head:
		return l.HeadTime, HeadTime
	case Silent, Idle:
		return l.IdleTime, IdleTime
	case Body:
		return l.LagTime, BodyRate
	case Writing:
		return l.LagTime, WriteRate
	default:
		return 0, ""
	}
}
