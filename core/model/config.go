package model

import "time"

// Config is a configuration as generated from an answers file. It is the desired
// state; the fleet tables of State hold the observed state.
type Config struct {
	Site      string
	Services  []Service
	Pools     []Pool
	Instances []InstanceSpec
	Teams     []Team
	Weights   Weights
	Limits    Limits
	Waves     WavePolicy
	// Sources lists, for each generated value, the answer that it was derived from.
	Sources []Source
}

// Source links a generated value to the answer that it was derived from.
type Source struct {
	Path   string // path in the configuration, such as pools.counter.budget.min_available
	Answer string // path in the answers file
}

// Service is a group of interchangeable targets.
type Service struct {
	Name ServiceName
	Pool PoolName
	// Idempotent lists the path prefixes, relative to the service, whose POST and
	// PATCH requests may be retried. GET, HEAD, PUT, DELETE and OPTIONS requests
	// are idempotent by the HTTP specification, except under the prefixes in
	// NonIdempotent.
	Idempotent    []string
	NonIdempotent []string
	Timeout       time.Duration // default deadline of a request
	QueueLimit    int           // maximum number of queued requests per caller and entry instance
}

// Pool is a group of instances with one availability budget.
type Pool struct {
	Name   PoolName
	Spare  bool // instances may be lent to other pools
	Budget Budget
}

// Budget is the availability budget of a pool; it covers planned and unplanned
// unavailability. A field that is 0 sets no limit. If several fields are set, all
// of them apply.
type Budget struct {
	MinAvailable        int
	MinAvailableShare   float64 // fraction of the members, rounded up
	MaxUnavailable      int
	MaxUnavailableShare float64 // fraction of the members, rounded down
	MaxPerRack          int     // planned outages must not make more instances of a rack unavailable than this
	MaxPerDataCenter    int     // the same for a data centre
}

// InstanceSpec declares an instance. Pool is the initial pool; afterwards only a
// move changes the pool of the instance.
type InstanceSpec struct {
	ID       InstanceID
	Pool     PoolName
	Domain   Domain
	Capacity Resources
}

// Team is an owner of jobs. Its quota is its share of the capacity for jobs.
type Team struct {
	Name  TeamName
	Quota Resources
}

// Weights are the weights of the operator's goals. Each is at least 0 and their
// sum is 1.
type Weights struct {
	ShortWait  float64
	BufferCost float64
	RollOut    float64
	Moves      float64
}

// Limits are the limits of request traffic.
type Limits struct {
	SlotsPerTarget       int
	ConnectionsPerTarget int
	RetryShare           float64       // retry budget as a fraction of the requests
	KeyRetention         time.Duration // how long claims are kept for resends
	MaxClaims            int           // maximum number of claims kept
}

// WavePolicy holds the defaults of maintenance waves.
type WavePolicy struct {
	Every         time.Duration // maximum interval between two maintenances of an instance
	Soak          time.Duration // time under observation after a reboot, before the return to service
	RebootTimeout time.Duration // an instance that is not back within this time has failed
	DrainTimeout  time.Duration // a drain by a wave or move that takes longer is cancelled; the instance returns to service
	MaxStep       int           // maximum number of instances of one pool in maintenance at once
}

// ConfigRecord is an accepted configuration in the history.
type ConfigRecord struct {
	Revision   Revision
	Base       Revision
	Actor      string
	RequestID  RequestID
	AcceptedAt Timestamp
	Digest     string // hex SHA-256 of the configuration as JSON, see query.Digest
	Config     *Config
}
