package entry

import (
	"time"

	"lacewingturn.example/core/model"
)

// ReportRequest asks the entry machine what it sees of the fleet. Reply has
// room for one report.
type ReportRequest struct{ Reply chan FleetReport }

// FleetReport is what one entry instance sees of the fleet. To keep it small,
// only instances that are out of service are listed with figures; of the
// others, only those whose target is silent are named.
type FleetReport struct {
	OutOfService []InstanceReport
	// Silent instances have a target that this entry instance owns and that has
	// missed several heartbeats in a row.
	Silent []model.InstanceID
}

// InstanceReport is what one entry instance sees of an instance.
type InstanceReport struct {
	Instance model.InstanceID
	// InFlight counts the requests of this entry instance.
	InFlight int
	// Heard is set if this entry instance owns a target there that has sent a
	// heartbeat; Running and HeardAge are those of the latest.
	Heard    bool
	Running  int
	HeardAge time.Duration
}
