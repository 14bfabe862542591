package pool

import "github.com/wheatroad/wheatroad/internal/taskgraph"

// Each run of a unit counts as one failure at most. Several members of a gang may end failed in one run,
// and their ends may reach different owners.

// recordUnitFailure records that a member's run has failed on a worker. It excludes the worker for the
// unit, and fails the job if no attempts are left.
func (p *Pool) recordUnitFailure(u *unit, w *worker) {
	if u.state == unitEnded || u.job.pendingState.Final() {
		return
	}
	if u.excludedWorkers == nil {
		u.excludedWorkers = map[string]bool{}
	}
	u.excludedWorkers[w.ID] = true
	u.countFailure()
	p.recordRunFailure(w, u)
	p.persistEnd(u.job)
	if u.failures >= max(1, u.job.Queue.MaxAttempts) && !u.spec().LongRunning {
		p.finishJob(u.job, taskgraph.Failed)
	}
}

// countFailure counts a failure of the unit's present run, unless it has been counted.
func (u *unit) countFailure() {
	if u.failedRun == u.run {
		return
	}
	u.failures++
	u.failedRun = u.run
}

// restoreFailures restores the failures that an earlier owner has counted. Owners of earlier versions
// counted each member of a gang and did not say which run they had counted last.
func (u *unit) restoreFailures(saved *unitProgress) {
	u.failures, u.failedRun = saved.Failures, saved.FailedRun
	if len(u.members) == 1 || u.failures == 0 || u.failedRun > 0 {
		return
	}
	if saved.hasEndedMember() {
		u.failures, u.failedRun = min(u.failures, u.run), u.run
		return
	}
	u.failures = min(u.failures, max(0, u.run-1))
}
