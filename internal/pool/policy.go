package pool

import "time"

// Choices of the scheduling policy.
const (
	// reservationLimit bounds the units for which room is kept in one cycle.
	reservationLimit = 16
	// A unit that has waited for idlePatience while less than idleUsage of the pool is
	// taken gets any place.
	idleUsage    = 0.55
	idlePatience = 1800 * time.Millisecond
	// patientShare of its objective is the slack above which a unit leaves the
	// emptiest racks to others.
	patientShare = 0.2
	// pressurePeriod is how long patient units of lower priority wait after others
	// were stopped for want of room.
	pressurePeriod = 2000 * time.Millisecond
	// pressingShare of its objective is the slack below which a gang without
	// priority 0 may stop others of lower priority.
	pressingShare = 0.2
	// leastLoss keeps the loss of a running unit above that of a stopping one.
	leastLoss = 0.1
	// gainLate times its work is what the start of a unit that is late already may
	// throw away.
	gainLate = 1.0
	// reclaimMargin is kept from the time in which a guaranteed job must begin.
	reclaimMargin = 600 * time.Millisecond
)

// headroomShares are the shares of racks that patient units of each priority leave
// to others; the last holds for all lower priorities too.
var headroomShares = []float64{0, 0.15, 0.65}
