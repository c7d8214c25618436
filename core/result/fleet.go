package result

// Codes of pools, budgets, moves and waves. Their meanings are registered below.
const (
	BudgetExceeded   Code = 200
	DomainLimit      Code = 201
	WrongPhase       Code = 202
	WaveActive       Code = 203
	PoolMismatch     Code = 204
	ConfigInvalid    Code = 205
	OperationPending Code = 206
	InstanceBusy     Code = 207
	StepFull         Code = 208
	OperationStale   Code = 209
)

func init() {
	register(
		Info{BudgetExceeded, "budget-exceeded", OutcomeNotRun, 409, 20, "The change would violate the availability budget of a pool."},
		Info{DomainLimit, "domain-limit", OutcomeNotRun, 409, 21, "The change would exceed the budget's limit for a rack or data centre."},
		Info{WrongPhase, "wrong-phase", OutcomeNotRun, 409, 22, "The instance, move or wave is not in a phase that allows the change."},
		Info{WaveActive, "wave-active", OutcomeNotRun, 409, 23, "Another maintenance wave that has not ended covers the pool."},
		Info{PoolMismatch, "pool-mismatch", OutcomeNotRun, 409, 24, "The instance is not in the source pool of the move."},
		Info{ConfigInvalid, "config-invalid", OutcomeNotRun, 400, 25, "The configuration is inconsistent, or does not fit the current state of the fleet."},
		Info{OperationPending, "operation-pending", OutcomeNotRun, 409, 26, "A platform operation on the instance has not finished."},
		Info{InstanceBusy, "instance-busy", OutcomeNotRun, 409, 27, "A job still holds a lease on the instance."},
		Info{StepFull, "step-full", OutcomeNotRun, 409, 28, "The wave already has as many instances of the pool in maintenance as its step size allows."},
		Info{OperationStale, "operation-stale", OutcomeNotRun, 409, 29, "The operation ID is out of date; it is not the ID of the next operation on the instance."},
	)
}
