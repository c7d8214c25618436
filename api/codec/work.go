package codec

import (
	"time"

	"lacewingturn.example/core/model"
)

// workReport is the wire form of model.ReportWork. This is the most frequent command
// at a large site, so the form is compact: keys are numbers, and each token in Held
// is encoded as the difference to the previous one.
type workReport struct {
	Worker  model.InstanceID `cbor:"1,keyasint"`
	Held    []int64          `cbor:"2,keyasint,omitempty"`
	Started []workStart      `cbor:"3,keyasint,omitempty"`
	Usage   []workUsage      `cbor:"4,keyasint,omitempty"`
	Ended   []workEnd        `cbor:"5,keyasint,omitempty"`
}

type workStart struct {
	_     struct{} `cbor:",toarray"`
	ID    model.JobID
	Token uint64
}

type workUsage struct {
	_            struct{} `cbor:",toarray"`
	ID           model.JobID
	Token        uint64
	MilliCPU     int64
	MemoryMB     int64
	Accelerators int64
	Checkpoint   string
}

type workEnd struct {
	ID           model.JobID   `cbor:"1,keyasint"`
	Token        uint64        `cbor:"2,keyasint"`
	Succeeded    bool          `cbor:"3,keyasint,omitempty"`
	Cancelled    bool          `cbor:"4,keyasint,omitempty"`
	Run          time.Duration `cbor:"5,keyasint,omitempty"`
	MilliCPU     int64         `cbor:"6,keyasint,omitempty"`
	MemoryMB     int64         `cbor:"7,keyasint,omitempty"`
	Accelerators int64         `cbor:"8,keyasint,omitempty"`
	Reason       string        `cbor:"9,keyasint,omitempty"`
}

// wireCommand returns the value to encode for a command: the compact form of a
// ReportWork, the command itself otherwise.
func wireCommand(c model.Command) any {
	r, ok := c.(model.ReportWork)
	if !ok {
		return c
	}
	w := workReport{Worker: r.Worker}
	last := uint64(0)
	for _, token := range r.Held {
		w.Held = append(w.Held, int64(token-last))
		last = token
	}
	for _, s := range r.Started {
		w.Started = append(w.Started, workStart{ID: s.ID, Token: s.Token})
	}
	for _, u := range r.Usage {
		w.Usage = append(w.Usage, workUsage{
			ID: u.ID, Token: u.Token, MilliCPU: u.Used.MilliCPU, MemoryMB: u.Used.MemoryMB, Accelerators: u.Used.Accelerators, Checkpoint: u.Checkpoint,
		})
	}
	for _, e := range r.Ended {
		w.Ended = append(w.Ended, workEnd{
			ID: e.ID, Token: e.Token, Succeeded: e.Succeeded, Cancelled: e.Cancelled, Run: e.Run, Reason: e.Reason,
			MilliCPU: e.Used.MilliCPU, MemoryMB: e.Used.MemoryMB, Accelerators: e.Used.Accelerators,
		})
	}
	return w
}

func (w workReport) command() model.ReportWork {
	r := model.ReportWork{Worker: w.Worker}
	last := uint64(0)
	for _, d := range w.Held {
		last += uint64(d)
		r.Held = append(r.Held, last)
	}
	for _, s := range w.Started {
		r.Started = append(r.Started, model.JobStarted{ID: s.ID, Token: s.Token})
	}
	for _, u := range w.Usage {
		r.Usage = append(r.Usage, model.JobReport{
			ID: u.ID, Token: u.Token, Checkpoint: u.Checkpoint,
			Used: model.Resources{MilliCPU: u.MilliCPU, MemoryMB: u.MemoryMB, Accelerators: u.Accelerators},
		})
	}
	for _, e := range w.Ended {
		r.Ended = append(r.Ended, model.JobEnded{
			ID: e.ID, Token: e.Token, Succeeded: e.Succeeded, Cancelled: e.Cancelled, Run: e.Run, Reason: e.Reason,
			Used: model.Resources{MilliCPU: e.MilliCPU, MemoryMB: e.MemoryMB, Accelerators: e.Accelerators},
		})
	}
	return r
}
