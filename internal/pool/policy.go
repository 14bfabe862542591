package pool

import "time"

// Settings of the scheduling policy: name, value, unit, and where the value comes from.
// "Trial" is a comparison of mean worth over several days and seeds of the platform's
// smaller sites.
const (
	// reservationLimit: units for which room is kept in one cycle. Chosen; other values were
	// not compared.
	reservationLimit = 16
	// idleUsage: share of the pool's scarcest room. A unit that has waited for idlePatience
	// while less is taken gets any place. The platform allows a wait of 3 s beside free
	// room from half of the room on.
	idleUsage    = 0.55
	idlePatience = 1800 * time.Millisecond
	// patientShare: share of a unit's objective. With more slack than that it leaves the
	// emptiest racks to others. Trial with 0.2 only.
	patientShare = 0.2
	// pressurePeriod: time for which patient units of lower priority wait after others were
	// stopped for want of room. Trial of 1.5 and 2 s.
	pressurePeriod = 2000 * time.Millisecond
	// pressingShare: share of a unit's objective. With less slack a gang without priority 0
	// may stop others of lower priority. Trial of 0.2 and 0.4.
	pressingShare = 0.2
	// leastLoss: core-seconds. It keeps the loss of a running unit above that of a stopping
	// one, which is 0.
	leastLoss = 0.1
	// gainLate: share of its work that the start of a unit which is late already may throw
	// away of others'. Late work earns three tenths at most.
	gainLate = 1.0
	// reclaimMargin: time kept from that in which a guaranteed job must begin: a write, the
	// orders and a tick.
	reclaimMargin = 600 * time.Millisecond
)

// headroomShares: share of the racks, by priority, that patient units leave to others; the
// last holds for all lower priorities too. Trial of 0.4, 0.5 and 0.65 for the lowest priority, of 0.15 and 0.3 for the middle one.
var headroomShares = []float64{0, 0.15, 0.65}
