package pool

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/fleet"
	"github.com/wheatroad/wheatroad/internal/poison"
)

// lossReason says how the owner learned that runs were lost with their worker.
type lossReason string

const (
	// lostWithInstance: another instance answers at the worker's address.
	lostWithInstance lossReason = "worker replaced"
	// lostWithLife: the worker has started again, and runs nothing of before.
	lostWithLife lossReason = "worker restarted"
	// lostWithLease: the worker was silent until its lease had run out.
	lostWithLease lossReason = "lease ran out"
)

// loseRuns settles all members on a worker that no longer runs anything and will list no
// ends. One of them may have crashed it.
func (p *Pool) loseRuns(w *worker, reason lossReason) {
	lost := w.members
	p.recordLoss(w, reason)
	for _, m := range lost {
		p.noteLostRun(m, reason)
		p.memberEnded(m, fleet.Lapsed)
	}
	for _, m := range lost {
		p.giveUpPoison(m.unit)
	}
}

// noteLostRun records a run that was lost with its worker. A member whose placement is
// still being written has no run.
func (p *Pool) noteLostRun(m *member, reason lossReason) {
	u, w := m.unit, m.worker
	if m.state == memberNone {
		return
	}
	p.record.Count("attempts", "lost")
	p.record.Decided("run lost", "job", u.job.id, "task", m.name().String(), "run", u.run, "worker", w.ID, "born", w.Born, "reason", string(reason),
		"confirmed", m.state == memberRunning, "ran_ms", u.ranMillis(w.lastAlive(p.loop.Now())))
}

// ranMillis is how long the unit's run had run at a time, for logs: 0 if an earlier owner started
// it, whose line tells when.
func (u *unit) ranMillis(at time.Time) int64 {
	if !u.startedHere {
		return 0
	}
	return max(0, at.Sub(u.startedAt).Milliseconds())
}

// lastAlive is when the worker fell silent, or now if it did not.
func (w *worker) lastAlive(now time.Time) time.Time {
	if w.unanswered > 0 {
		return w.silentAt
	}
	return now
}

// recordLoss notes a lost worker against the tasks that ran there, since one that crashes
// workers lists no end and would else be started for ever.
func (p *Pool) recordLoss(w *worker, reason lossReason) {
	if w.Draining || w.departing {
		// It left by plan, and took with it what was not moved in time.
		for _, m := range w.members {
			if m.losses.Count() > 0 {
				m.losses.AddUnexplained(w.Life.String())
			}
		}
		return
	}
	at := w.lastAlive(p.loop.Now())
	loss := poison.Loss{
		Worker: w.Life.String(), Address: w.Address, At: at,
		Unwatched: !w.greeted,
		Replaced:  reason != lostWithLease || p.addressTaken(w),
	}
	for _, m := range w.members {
		m.addLoss(&loss, m.presenceAt(at))
	}
	p.lossLedger.SetWorkers(len(p.workers))
	p.lossLedger.Lost(loss)
}

// addLoss adds the member to the suspects of a loss, if its run was on the worker.
func (m *member) addLoss(loss *poison.Loss, ran presence) {
	if ran == neverThere {
		return
	}
	history := m.lossHistory()
	switch {
	case history == nil:
		// The unit has too many: whatever struck it was none of its members.
	case ran == perhapsThere:
		history.AddUnexplained(loss.Worker)
	default:
		loss.Suspects = append(loss.Suspects, poison.Suspect{History: history, Age: m.unit.ageAt(loss.At), AgeAssumed: !m.unit.startedHere})
	}
}

// addressTaken reports whether another worker is listed at a worker's address.
func (p *Pool) addressTaken(w *worker) bool {
	for _, other := range p.workers {
		if other != w && other.listed && other.Address == w.Address && w.Address != "" {
			return true
		}
	}
	return false
}
