package pool

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/fleet"
	"github.com/wheatroad/wheatroad/internal/speeds"
)

// machineRecord is what is known of the machine below a worker, whichever life runs on it: a
// machine that fails or slows what it runs goes on doing so after its worker started again.
type machineRecord struct {
	// penaltyUntil keeps new work away, and slowUntil keeps gangs away.
	penaltyUntil time.Time
	slowUntil    time.Time
	speed        speeds.Estimate
	reliability  reliability
	// restarts is how often its worker started again under its identifier since the owner met it.
	restarts int
}

// worker is one life of a worker and what the owner believes of it.
type worker struct {
	fleet.Worker
	machineRecord
	rack string
	// claimed is a later life that the worker's row names and that has not answered yet; nil if
	// there is none. It is being asked while asking is true.
	claimed *fleet.Worker
	asking  bool
	// listed is false once the worker's row is gone.
	listed bool
	// departing is true once the worker has answered without its row: it leaves by plan and
	// serves on for a while.
	departing bool
	// missing is true while the row is gone but may have lapsed with the store away.
	missing bool
	// greeted is true once the worker has answered under this owner's token.
	greeted bool
	// greetedAt is when it first did.
	greetedAt time.Time
	// toGreet is true while the worker waits to be greeted, and greeting while it is.
	toGreet, greeting bool
	// members that may run here, in the order of their assignment.
	members []*member
	// unwanted are runs that the worker lists and the owner does not want.
	unwanted map[runName]unwantedRun
	// clock is the worker's clock in milliseconds at clockAt.
	clock   int64
	clockAt time.Time
	// deadline is the latest lease end, on the worker's clock, that was sent.
	deadline int64
	ends     endNumbers
	// lookedAt is when the worker was last asked for its account beside a hold.
	lookedAt time.Time
	// holding is true while a hold is under way.
	holding   bool
	holdTimer func()
	// unanswered counts calls without an answer since the last one.
	unanswered int
	silentAt   time.Time
	// lossyUntil is how long the worker counts as one that loses answers.
	lossyUntil time.Time
	// coldUntil is how long the worker is slow after its start.
	coldUntil time.Time
}

// leaving reports whether the worker leaves.
func (w *worker) leaving() bool { return w.Draining || !w.listed }
