package model

import (
	"fmt"
	"strings"
	"time"
)

// Holders that are not a wave or a move.
const (
	HolderOperator = "operator"
	HolderRetire   = "retire"
)

const (
	waveHolder = "wave/"
	moveHolder = "move/"
)

// WaveHolder is the HeldBy of instances that the wave took.
func WaveHolder(id WaveID) string { return waveHolder + string(id) }

// MoveHolder is the HeldBy of the instance that the move took.
func MoveHolder(id MoveID) string { return moveHolder + string(id) }

// HeldByWave returns the wave that holds the instance.
func (i Instance) HeldByWave() (WaveID, bool) {
	id, ok := strings.CutPrefix(i.HeldBy, waveHolder)
	return WaveID(id), ok
}

// HeldByMove returns the move that holds the instance.
func (i Instance) HeldByMove() (MoveID, bool) {
	id, ok := strings.CutPrefix(i.HeldBy, moveHolder)
	return MoveID(id), ok
}

// NextOperation returns the only ID under which the next platform operation of
// the instance may be committed. It is safe as a path segment if the ID of the
// instance is.
func (i Instance) NextOperation() OperationID {
	return OperationID(fmt.Sprintf("%s-op%d", i.ID, i.OperationSeq+1))
}

func (k OperationKind) String() string {
	return [...]string{"none", "drain", "reboot"}[min(int(k), 2)]
}

// NoNewWorkAfter is how long entry instances may still send work to an instance
// that has begun to drain.
const NoNewWorkAfter = 3 * time.Second

// Defaults of WavePolicy, used where the configuration gives zero.
const (
	DefaultSoak          = time.Minute
	DefaultRebootTimeout = 10 * time.Minute
	DefaultDrainTimeout  = 15 * time.Minute
)

// WavePolicy returns the policy in force with defaults filled in.
func (s State) WavePolicy() WavePolicy {
	var p WavePolicy
	if s.Config != nil {
		p = s.Config.Waves
	}
	if p.Soak <= 0 {
		p.Soak = DefaultSoak
	}
	if p.RebootTimeout <= 0 {
		p.RebootTimeout = DefaultRebootTimeout
	}
	if p.DrainTimeout <= 0 {
		p.DrainTimeout = DefaultDrainTimeout
	}
	p.MaxStep = max(p.MaxStep, 1)
	return p
}
