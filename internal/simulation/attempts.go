package simulation

import "github.com/wheatroad/wheatroad/internal/taskgraph"

// A task, or a gang as a whole, has as many attempts as its queue allows. A run of a gang in which several
// members fail is one failed attempt.

// unitName identifies a gang, or a task outside a gang; index is 0 for gangs.
type unitName struct{ repetition, step, index int }

func (c *Cluster) unitOf(name taskgraph.TaskName) unitName {
	unit := unitName{repetition: name.Repetition, step: name.Step, index: name.Index}
	if c.step(name).Gang {
		unit.index = 0
	}
	return unit
}

// recordFailedRun records that a run has failed.
func (c *Checker) recordFailedRun(r *run) {
	failedRuns := c.jobs[r.name.Job].failedRuns
	unit := c.cluster.unitOf(r.name)
	if failedRuns[unit] == nil {
		failedRuns[unit] = map[int]bool{}
	}
	failedRuns[unit][r.number] = true
}

// hasAttemptsLeft reports whether the unit of a run has attempts left, not counting this run.
func (c *Checker) hasAttemptsLeft(r *run) bool {
	job := c.jobs[r.name.Job]
	failed := len(job.failedRuns[c.cluster.unitOf(r.name)])
	if job.failedRuns[c.cluster.unitOf(r.name)][r.number] {
		failed--
	}
	return failed < job.queue.MaxAttempts
}

// jobOf returns the job of a log event.
func (c *Checker) jobOf(keysAndValues []any) *jobRecord {
	id, _ := fieldsOf(keysAndValues)["job"].(string)
	return c.jobs[id]
}

// checkFailedJob reports a violation if a job is shown as failed although each of its units has attempts
// left, no task crashes its workers, and no rejection of its row is expected.
func (c *Checker) checkFailedJob(job *jobRecord) {
	if job.poison || job.setAside && c.RejectionsExpected {
		return
	}
	most := 0
	for _, runs := range job.failedRuns {
		most = max(most, len(runs))
	}
	if most < job.queue.MaxAttempts {
		c.addViolation("job %s is shown as failed after %d failed runs of %d", job.spec.ID, most, job.queue.MaxAttempts)
	}
}
