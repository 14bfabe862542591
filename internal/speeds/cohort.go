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

// cohortLeast is the number of other tasks from which a task is compared with them.
const cohortLeast = 4

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
	others := c.count - 1
	if !m.added || others < cohortLeast {
		return false
	}
	base := (c.sum - m.work) / float64(others)
	deviation := m.work - base
	variance := spread.variance() * (1 + 1/float64(others))
	spread.learn(deviation, worker.variance())
	worker.learn(worker.mean+deviation, variance)
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
	spreadMemory      = 500
	// mostSquare bounds what one task adds: the longest of a long tail would hide all others.
	mostSquare = 1.0
)

func (s *Spread) variance() float64 {
	return (s.sum + spreadPrior*spreadPriorWeight) / (s.weight + spreadPriorWeight)
}

// learn takes in a deviation, of which the worker explains a part.
func (s *Spread) learn(deviation, ofWorker float64) {
	if s.weight >= spreadMemory {
		s.sum *= (spreadMemory - 1) / s.weight
		s.weight = spreadMemory - 1
	}
	s.sum += min(mostSquare, max(0, deviation*deviation-ofWorker))
	s.weight++
}
