package poison

// prior estimates the odds that a task without losses is poison, from the share of recent tasks
// that were found to be poison. It is shared by a tracker and the groups whose losses the tracker
// has recorded. While a pool runs many poison tasks, a lower prior would let each of them crash
// another worker before it is detected.
type prior struct {
	// started and poison count the recent tasks that were started and that were found to be poison.
	started, poison float64
}

const (
	// priorWeight is the number of started tasks that outweighs priorOdds.
	priorWeight = 1000
	// maxPriorOdds limits the estimate, so that wrong verdicts cannot amplify each other.
	maxPriorOdds = 20 * priorOdds
	// maxRecentTasks is the number of started tasks from which older ones count half.
	maxRecentTasks = 4 * priorWeight
)

// odds returns the estimate; priorOdds for a nil prior.
func (p *prior) odds() float64 {
	if p == nil {
		return priorOdds
	}
	return min(maxPriorOdds, (priorOdds*priorWeight+p.poison)/(priorWeight+p.started))
}

// RecordStarts records that tasks were started for the first time.
func (l *LossTracker) RecordStarts(tasks int) {
	l.prior.started += float64(tasks)
	if l.prior.started > maxRecentTasks {
		l.prior.started /= 2
		l.prior.poison /= 2
	}
}

// RecordPoison records that a task was found to be poison.
func (l *LossTracker) RecordPoison() { l.prior.poison++ }
