package pool

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/fleet"
	"github.com/wheatroad/wheatroad/internal/poison"
)

// lossReason says how the owner learned that runs were lost with their worker.
type lossReason string

const (
	// lostInstanceReplaced: another instance answers at the worker's address.
	lostInstanceReplaced lossReason = "worker replaced"
	// lostWorkerRestarted: the worker has restarted, which ended the run.
	lostWorkerRestarted lossReason = "worker restarted"
	// lostLeaseExpired: the worker did not respond until its lease had expired.
	lostLeaseExpired lossReason = "lease ran out"
)

// markRunsLost marks all runs on a worker as lost. The worker no longer runs anything and will not
// report how the runs ended. One of the runs may have crashed the worker.
func (p *Pool) markRunsLost(w *worker, reason lossReason) {
	lost := w.members
	p.recordWorkerLoss(w, reason)
	for _, m := range lost {
		p.recordLostRun(m, reason)
		p.memberEnded(m, fleet.EndLeaseExpired)
	}
	for _, m := range lost {
		p.failPoisonJob(m.unit)
	}
}

// recordLostRun counts and logs a run that was lost with its worker. A member whose placement is
// still being written has no run.
func (p *Pool) recordLostRun(m *member, reason lossReason) {
	u, w := m.unit, m.worker
	if m.state == memberWithoutRun {
		return
	}
	p.record.Count("attempts", "lost")
	p.record.LogEvent("run lost", "job", u.job.id, "task", m.name().String(), "run", u.run, "worker", w.ID, "born", w.StartMillis, "reason", string(reason),
		"confirmed", m.state == memberRunning, "ran_ms", u.runMillis(w.lastResponsive(p.loop.Now())),
		"poison_odds", m.losses.Odds())
}

// runMillis returns how long the unit's run had been running at a given time, for logs. It is 0 if
// an earlier owner started the run.
func (u *unit) runMillis(at time.Time) int64 {
	if !u.startedByThisOwner {
		return 0
	}
	return max(0, at.Sub(u.startedAt).Milliseconds())
}

// lastResponsive returns the time at which the worker stopped responding, or now if it responds.
func (w *worker) lastResponsive(now time.Time) time.Time {
	if w.unansweredCalls > 0 {
		return w.unresponsiveSince
	}
	return now
}

// recordWorkerLoss records a lost worker against the tasks that ran there. A task that crashes its
// workers is never reported as failed, so without this record it would be restarted forever.
func (p *Pool) recordWorkerLoss(w *worker, reason lossReason) {
	at := w.lastResponsive(p.loop.Now())
	if w.shutDownAsPlanned(at) {
		return
	}
	if w.Draining {
		p.recordCrashWhileDraining(w, at)
		return
	}
	loss := poison.Loss{
		Worker: w.Incarnation.String(), Address: w.Address, At: at,
		Unobserved: !w.contacted,
		Replaced:   reason != lostLeaseExpired || p.addressTaken(w),
	}
	for _, m := range w.members {
		m.addSuspect(&loss, m.runPresenceAt(at))
	}
	p.lossTracker.SetWorkers(len(p.workers))
	p.lossTracker.RecordLoss(loss)
	p.kept.recordLoss()
}

// recordCrashWhileDraining records the loss of a draining worker that had more time left by its own
// statement. The loss counts, but is no evidence: the worker may have shut down early.
func (p *Pool) recordCrashWhileDraining(w *worker, at time.Time) {
	for _, m := range w.members {
		if m.runPresenceAt(at) == notStarted {
			continue
		}
		if history := m.lossHistory(); history != nil {
			history.AddUnexplained(w.Incarnation.String())
		}
	}
}

// addSuspect adds the member to the suspects of a loss if its run was on the worker.
func (m *member) addSuspect(loss *poison.Loss, ran runPresence) {
	if ran == notStarted {
		return
	}
	history := m.lossHistory()
	if history == nil {
		// The unit has too many loss histories, so the cause is probably outside the unit.
		return
	}
	age, estimated := m.unit.runAgeAt(loss)
	suspect := poison.Suspect{History: history, Age: age, AgeEstimated: estimated}
	if ran == possiblyStarted {
		history.AddUnexplained(loss.Worker)
		loss.Unconfirmed = append(loss.Unconfirmed, suspect)
		return
	}
	loss.Suspects = append(loss.Suspects, suspect)
}

// addressTaken reports whether another worker has answered at the worker's address.
func (p *Pool) addressTaken(w *worker) bool {
	for _, other := range p.workers {
		if other != w && other.addressConfirmed() && other.Address == w.Address {
			return true
		}
	}
	return false
}
