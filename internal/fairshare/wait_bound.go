package fairshare

import "time"

// The wait bound is well above a job's objective, since a late job gains little by going first and delays
// jobs that are still in time.
const (
	// maxDelayObjectives is the delay after the latest timely start, in objectives, after which
	// shares no longer decide.
	maxDelayObjectives = 10
	// minMaxDelay is the lower limit of that delay. It is longer than a burst.
	minMaxDelay = 30 * time.Second
	// OverdueTurn is the longest time for which one overdue unit keeps the other overdue units of its
	// tenant from going first.
	OverdueTurn = 30 * time.Second
)

// ExceedsWaitBound reports whether work with the given slack is overdue: it has waited so long behind
// others of its priority that it goes first, one unit of each tenant at a time. slack is how long the start may be delayed without
// missing the objective.
func ExceedsWaitBound(slack, objective time.Duration) bool {
	return -slack > WaitBound(objective)
}

// WaitBound returns the delay after the latest timely start from which work is overdue.
func WaitBound(objective time.Duration) time.Duration {
	return max(minMaxDelay, maxDelayObjectives*objective)
}
