package entry

import (
	"time"

	"lacewingturn.example/core/model"
)

// ReportRequest requests a FleetReport from command.Machine. Reply must have
// capacity for one report, so that the Machine does not block.
type ReportRequest struct{ Reply chan FleetReport }

// FleetReport contains what one entry instance observes of the fleet. To keep it
// small, it has figures only for instances that are out of service; of the others
// it lists only the IDs of those whose target is silent.
type FleetReport struct {
	OutOfService []InstanceReport
	// Silent lists the instances in service with a target that this entry instance
	// owns and from which it has received no heartbeat within the heartbeat timeout.
	Silent []model.InstanceID
}

// InstanceReport contains what one entry instance observes of an instance that is
// out of service.
type InstanceReport struct {
	Instance model.InstanceID
	// InFlight counts the requests that this entry instance has in flight to
	// targets on the instance.
	InFlight int
	// HasHeartbeat is set if this entry instance owns a target on the instance that
	// has sent a heartbeat. Running is the number of requests that the latest
	// heartbeats list, and HeartbeatAge is the age of the newest heartbeat.
	HasHeartbeat bool
	Running      int
	HeartbeatAge time.Duration
}
