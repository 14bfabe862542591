package speeds

// Cohort compares independent tasks of one step, whose work is similar but not equal and which
// begin and end at different times. The cost of each operation does not depend on the number of
// tasks.
type Cohort struct {
	// sum is the sum of the members' work: the logarithms of their times less the estimates of
	// their workers.
	sum   float64
	count int
}

// Member is the contribution of one task to a cohort.
type Member struct {
	work  float64
	added bool
}

// minCohortPeers is the minimum number of other tasks for a comparison.
const minCohortPeers = 4

// Record records the total duration of a task, extrapolated from its progress or measured at its
// end.
func (c *Cohort) Record(m *Member, worker *Estimate, logTime float64) {
	c.Remove(m)
	m.work, m.added = logTime-worker.mean, true
	c.sum += m.work
	c.count++
}

// Remove removes a task's contribution, for example when its run failed.
func (c *Cohort) Remove(m *Member) {
	if m.added {
		c.sum -= m.work
		c.count--
		m.added = false
	}
}

// UpdateEstimate compares a task with the others of its cohort and updates the worker's estimate
// and the spread. It returns false if there are too few other tasks.
func (c *Cohort) UpdateEstimate(m *Member, worker *Estimate, spread *WorkVariance) bool {
	peers := c.count - 1
	if !m.added || peers < minCohortPeers {
		return false
	}
	expected := (c.sum - m.work) / float64(peers)
	deviation := m.work - expected
	variance := spread.variance() * (1 + 1/float64(peers))
	spread.update(deviation, worker.variance())
	worker.update(worker.mean+deviation, variance)
	return true
}

// WorkVariance estimates the variance of the logarithm of work among tasks of one step. The zero
// value is the prior.
type WorkVariance struct {
	sum, weight float64
}

const (
	// spreadPrior is the prior variance, with a weight in tasks; maxSpreadWeight limits the weight
	// of past tasks.
	spreadPrior       = 0.16
	spreadPriorWeight = 20
	maxSpreadWeight   = 500
	// maxSquaredDeviation limits the contribution of one task, so that a long tail does not
	// dominate.
	maxSquaredDeviation = 1.0
)

func (s *WorkVariance) variance() float64 {
	return (s.sum + spreadPrior*spreadPriorWeight) / (s.weight + spreadPriorWeight)
}

// update adds a deviation, less the variance that the worker explains.
func (s *WorkVariance) update(deviation, workerVariance float64) {
	if s.weight >= maxSpreadWeight {
		s.sum *= (maxSpreadWeight - 1) / s.weight
		s.weight = maxSpreadWeight - 1
	}
	s.sum += min(maxSquaredDeviation, max(0, deviation*deviation-workerVariance))
	s.weight++
}
