package speeds

// Cohort compares tasks of one step that run by themselves: their works are alike but not equal, and they
// begin and end at different times. Its costs do not grow with the number of tasks.
type Cohort struct {
	// sum adds up what the members say of the work, each as the logarithm of its time without what is
	// known of its worker.
	sum   float64
	count int
}

// Member is what one task of a cohort has added to it.
type Member struct {
	work  float64
	added bool
}

// minCohortPeers is the number of other tasks from which a task is compared with them.
const minCohortPeers = 4

// Note takes in how long a task takes in all, by its progress so far or by its end.
func (c *Cohort) Note(m *Member, worker *Estimate, logTime float64) {
	c.Forget(m)
	m.work, m.added = logTime-worker.mean, true
	c.sum += m.work
	c.count++
}

// Forget takes back what a task has added, as when its run came to nothing.
func (c *Cohort) Forget(m *Member) {
	if m.added {
		c.sum -= m.work
		c.count--
		m.added = false
	}
}

// Learn compares a task with the others of its cohort, and learns from it how much tasks differ. It
// returns false if there are too few others yet.
func (c *Cohort) Learn(m *Member, worker *Estimate, spread *Spread) bool {
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

// Spread is how much tasks of one step differ in work, as the variance of its logarithm. The zero value is
// a guess.
type Spread struct {
	sum, weight float64
}

const (
	// spreadPrior is the guess, with the weight of so many tasks, and spreadMemory bounds the weight of
	// what was learned.
	spreadPrior       = 0.16
	spreadPriorWeight = 20
	maxSpreadWeight   = 500
	// maxSquaredDeviation bounds what one task adds: the longest of a long tail would hide all others.
	maxSquaredDeviation = 1.0
)

func (s *Spread) variance() float64 {
	return (s.sum + spreadPrior*spreadPriorWeight) / (s.weight + spreadPriorWeight)
}

// update takes in a deviation, of which the worker explains a part.
func (s *Spread) update(deviation, workerVariance float64) {
	if s.weight >= maxSpreadWeight {
		s.sum *= (maxSpreadWeight - 1) / s.weight
		s.weight = maxSpreadWeight - 1
	}
	s.sum += min(maxSquaredDeviation, max(0, deviation*deviation-workerVariance))
	s.weight++
}
