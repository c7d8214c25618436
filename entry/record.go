package entry

import (
	"time"

	"lacewingturn.example/core/model"
)

// TrafficRecord describes one request that a target has answered with a status
// below 500. Run is the time from sending the request to the end of the buffered
// response.
type TrafficRecord struct {
	Number   uint64
	Caller   model.CallerID
	Service  model.ServiceName
	Arrived  time.Time
	Deadline time.Time
	Run      time.Duration
}
