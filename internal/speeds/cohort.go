package speeds

// Cohort compares independent tasks of one step. The work of the tasks is similar but not equal,
// and the tasks begin and end at different times. The cost of each operation does not depend on the
// number of tasks.
type Cohort struct {
	// sum is the sum of Member.work over the members.
	sum   float64
	count int
}

// Member is the contribution of one task to a cohort.
type Member struct {
	// work is the logarithm of the task's work: the logarithm of the task's time, less the
	// estimated logarithm of the worker's time per work.
	work  float64
	added bool
}

// minCohortPeers is the minimum number of other tasks that a task is compared with.
const minCohortPeers = 4

// Record records the logarithm of a task's total duration, replacing any earlier value. The
// duration is extrapolated from the task's progress, or measured at the end of the task.
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

// UpdateEstimate compares a task with the other tasks of the cohort. It updates the estimate of the
// task's worker and the variance of work. It returns false if the cohort has too few other tasks.
func (c *Cohort) UpdateEstimate(m *Member, worker *Estimate, workVariance *WorkVariance) bool {
	peers := c.count - 1
	if !m.added || peers < minCohortPeers {
		return false
	}
	expected := (c.sum - m.work) / float64(peers)
	deviation := m.work - expected
	variance := workVariance.variance() * (1 + 1/float64(peers))
	workVariance.update(deviation, worker.variance())
	worker.update(worker.mean+deviation, variance)
	return true
}

// WorkVariance estimates how much the work of tasks of one step varies, as the variance of the
// logarithm. The zero value is the prior.
type WorkVariance struct {
	sum, weight float64
}

const (
	// priorWorkVariance is the prior variance. It weighs as much as priorWorkWeight tasks.
	priorWorkVariance = 0.16
	priorWorkWeight   = 20
	// maxWorkWeight is the maximum weight of past tasks, in tasks.
	maxWorkWeight = 500
	// maxSquaredDeviation limits the contribution of one task, so that a few very long tasks do not
	// dominate.
	maxSquaredDeviation = 1.0
)

func (v *WorkVariance) variance() float64 {
	return (v.sum + priorWorkVariance*priorWorkWeight) / (v.weight + priorWorkWeight)
}

// update adds the deviation of one task's work from the expected work. The part that the
// uncertainty of the worker's estimate explains is subtracted.
func (v *WorkVariance) update(deviation, workerVariance float64) {
	if v.weight >= maxWorkWeight {
		v.sum *= (maxWorkWeight - 1) / v.weight
		v.weight = maxWorkWeight - 1
	}
	v.sum += min(maxSquaredDeviation, max(0, deviation*deviation-workerVariance))
	v.weight++
}
