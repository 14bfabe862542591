package pool

import "time"

// Parameters of the scheduling policy.
const (
	// reservationLimit is the number of units that may reserve resources in one cycle.
	reservationLimit = 16
	// A unit is placed on any workers once it has waited for starvationTimeout and the utilization
	// of the most used resource is below idleUtilization. The platform limits such a wait to 3 s
	// once half of the resources are free, and for restarts of long-running units always.
	idleUtilization   = 0.55
	starvationTimeout = 1800 * time.Millisecond
	// deferrableSlackShare is the slack, as a share of the objective, above which a unit is
	// deferrable.
	deferrableSlackShare = 0.2
	// preemptionBackoff is how long deferrable units of lower priority wait after a preemption.
	preemptionBackoff = 2000 * time.Millisecond
	// preemptionSlackShare is the slack, as a share of the objective, below which a gang of any
	// priority may preempt units of lower priority.
	preemptionSlackShare = 0.2
	// minPreemptionCost, in core-seconds, is the minimum cost of preempting a running unit. The
	// cost of a stopping unit is 0.
	minPreemptionCost = 0.1
	// lateStartGain is the gain of starting a unit that has missed its objective, as a share of its
	// work.
	lateStartGain = 1.0
	// guaranteeMargin is the part of the time limit of a guaranteed start that is left for a
	// write, the commands and a tick.
	guaranteeMargin = 600 * time.Millisecond
)

// headroomShares holds, by priority, the share of the racks that deferrable units leave free. The
// last entry holds for all lower priorities too.
var headroomShares = []float64{0, 0.15, 0.65}
