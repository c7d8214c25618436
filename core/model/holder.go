package model

import (
	"fmt"
	"strings"
	"time"
)

// Values of Instance.HeldBy that are neither a wave nor a move.
const (
	HolderOperator = "operator" // drained by an operator
	HolderRetire   = "retire"   // drained because the configuration no longer declares it
)

const (
	waveHolderPrefix = "wave/"
	moveHolderPrefix = "move/"
)

// WaveHolder returns the value of Instance.HeldBy for instances held by a wave.
func WaveHolder(id WaveID) string { return waveHolderPrefix + string(id) }

// MoveHolder returns the value of Instance.HeldBy for the instance held by a move.
func MoveHolder(id MoveID) string { return moveHolderPrefix + string(id) }

// HeldByWave returns the wave that holds the instance; false if none does.
func (i Instance) HeldByWave() (WaveID, bool) {
	id, ok := strings.CutPrefix(i.HeldBy, waveHolderPrefix)
	return WaveID(id), ok
}

// HeldByMove returns the move that holds the instance; false if none does.
func (i Instance) HeldByMove() (MoveID, bool) {
	id, ok := strings.CutPrefix(i.HeldBy, moveHolderPrefix)
	return MoveID(id), ok
}

// NextOperation returns the ID that the next platform operation of the instance
// must have. It can be used as a URL path segment if the instance ID can.
func (i Instance) NextOperation() OperationID {
	return OperationID(fmt.Sprintf("%s-op%d", i.ID, i.OperationSeq+1))
}

// String returns the name of the operation, such as "reboot".
func (k OperationKind) String() string {
	return [...]string{"none", "drain", "reboot"}[min(int(k), 2)]
}

// DrainPropagationDelay is how long after the start of a drain entry instances may
// still send requests to the instance.
const DrainPropagationDelay = 3 * time.Second

// Defaults of WavePolicy for values that are zero in the configuration.
const (
	DefaultSoak          = time.Minute
	DefaultRebootTimeout = 10 * time.Minute
	DefaultDrainTimeout  = 15 * time.Minute
)

// WavePolicy returns the policy in force, with defaults for values that are not
// set. MaxStep is at least 1.
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
