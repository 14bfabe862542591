package pool

import "time"

// Parameters of the scheduling policy.
const (
	// reservationLimit is the number of units that may reserve resources in one cycle.
	reservationLimit = 16
	// A unit that has waited for idlePatience while the utilization of the most used resource
	// is below idleUsage is placed anywhere. The platform allows a wait of 3 s while half of
	// the pool is free.
	idleUsage    = 0.55
	idlePatience = 1800 * time.Millisecond
	// patientShare is the share of a unit's objective beyond which slack makes it deferrable.
	patientShare = 0.2
	// pressurePeriod is how long deferrable units of lower priority wait after a preemption.
	pressurePeriod = 2000 * time.Millisecond
	// pressingShare is the share of a unit's objective below which slack lets a gang of any
	// priority preempt units of lower priority.
	pressingShare = 0.2
	// leastLoss, in core-seconds, keeps the cost of a running unit above that of a stopping
	// one, which is 0.
	leastLoss = 0.1
	// gainLate is the gain of starting a unit that has missed its objective, as a share of its
	// work.
	gainLate = 1.0
	// reclaimMargin is the part of the time limit of a guaranteed start that is left for a
	// write, the commands and a tick.
	reclaimMargin = 600 * time.Millisecond
)

// headroomShares has, by priority, the share of the racks that deferrable units leave to others.
// The last entry holds for all lower priorities too.
var headroomShares = []float64{0, 0.15, 0.65}
