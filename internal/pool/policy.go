package pool

import "time"

// Parameters of the scheduling policy.
const (
	// reservationLimit is the number of units that may reserve resources in one cycle.
	reservationLimit = 16
	// A unit that has waited for starvationTimeout while the utilization of the most used resource
	// is below idleUtilization is placed anywhere. The platform allows a wait of 3 s while half of
	// the pool is free.
	idleUtilization   = 0.55
	starvationTimeout = 1800 * time.Millisecond
	// deferrableSlackShare is the share of a unit's objective beyond which slack makes it deferrable.
	deferrableSlackShare = 0.2
	// preemptionBackoff is how long deferrable units of lower priority wait after a preemption.
	preemptionBackoff = 2000 * time.Millisecond
	// preemptionSlackShare is the share of a unit's objective below which slack lets a gang of any
	// priority preempt units of lower priority.
	preemptionSlackShare = 0.2
	// minPreemptionCost, in core-seconds, keeps the cost of a running unit above that of a stopping
	// one, which is 0.
	minPreemptionCost = 0.1
	// lateStartGain is the gain of starting a unit that has missed its objective, as a share of its
	// work.
	lateStartGain = 1.0
	// guaranteeMargin is the part of the time limit of a guaranteed start that is left for a
	// write, the commands and a tick.
	guaranteeMargin = 600 * time.Millisecond
)

// headroomShares has, by priority, the share of the racks that deferrable units leave to others.
// The last entry holds for all lower priorities too.
var headroomShares = []float64{0, 0.15, 0.65}
