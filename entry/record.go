package entry

import (
	"time"

	"lacewingturn.example/core/model"
)

// TrafficRecord describes one request that a target has answered.
type TrafficRecord struct {
	Number   uint64
	Caller   model.CallerID
	Service  model.ServiceName
	Arrived  time.Time
	Deadline time.Time
	Run      time.Duration
}
