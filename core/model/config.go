package model

import "time"

// Config is a configuration as generated from answers. It is the desired
// state; the fleet tables hold the observed state.
type Config struct {
	Site      string
	Services  []Service
	Pools     []Pool
	Instances []InstanceSpec
	Teams     []Team
	Weights   Weights
	Limits    Limits
	Waves     WavePolicy
	// Sources names, for each generated value, the answer it came from.
	Sources []Source
}

// Source links a generated value to an answer.
type Source struct {
	Path   string // path in the configuration, such as pools.counter.budget.min_available
	Answer string // path in the answers file
}

// Service is a group of targets that do the same work.
type Service struct {
	Name ServiceName
	Pool PoolName
	// Idempotent lists the path prefixes (below the service) whose POST and
	// PATCH requests may be repeated. GET, HEAD, PUT, DELETE and OPTIONS are
	// idempotent by definition of HTTP unless listed in NonIdempotent.
	Idempotent    []string
	NonIdempotent []string
	Timeout       time.Duration // default deadline of a request
	QueueLimit    int           // requests queued for each caller at one entry instance
}

// Pool is a group of instances with one availability budget.
type Pool struct {
	Name   PoolName
	Spare  bool // instances may be lent to other pools
	Budget Budget
}

// Budget limits planned and unplanned unavailability of a pool. Zero fields do
// not limit. When several are set, all hold.
type Budget struct {
	MinAvailable        int
	MinAvailableShare   float64 // of the members, rounded up
	MaxUnavailable      int
	MaxUnavailableShare float64 // of the members, rounded down
	MaxPerRack          int     // planned unavailable instances in one rack
	MaxPerDataCenter    int     // planned unavailable instances in one data centre
}

// InstanceSpec declares an instance. Pool is the pool at first declaration; a
// later change of pool is made by a move.
type InstanceSpec struct {
	ID       InstanceID
	Pool     PoolName
	Domain   Domain
	Capacity Resources
}

// Team shares the capacity for jobs.
type Team struct {
	Name  TeamName
	Quota Resources
}

// Weights of the operator's goals; each is at least 0 and they sum to 1.
type Weights struct {
	ShortWait  float64
	BufferCost float64
	RollOut    float64
	Moves      float64
}

// Limits of traffic.
type Limits struct {
	SlotsPerTarget       int
	ConnectionsPerTarget int
	RetryShare           float64 // retries allowed as a share of requests
	KeyRetention         time.Duration
	MaxClaims            int
}

// WavePolicy holds the defaults of maintenance waves.
type WavePolicy struct {
	Every         time.Duration // each instance is maintained once in this time
	Soak          time.Duration
	RebootTimeout time.Duration
	DrainTimeout  time.Duration
	MaxStep       int // largest number of instances of one pool in one step
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
