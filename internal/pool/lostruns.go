package pool

import "github.com/wheatroad/wheatroad/internal/fleet"

// How the owner learned that a run was lost with its worker.
const (
	// lostWithInstance: another instance answers at the worker's address.
	lostWithInstance = "worker replaced"
	// lostWithLease: the worker was silent until its lease had run out.
	lostWithLease = "lease ran out"
)

// loseRuns settles all members on a worker that no longer runs anything and will list no
// ends.
func (p *Pool) loseRuns(w *worker, reason string) {
	for _, m := range w.members {
		p.noteLostRun(m, reason)
		p.memberEnded(m, fleet.Lapsed)
	}
}

// noteLostRun records a run that was lost with its worker. A member whose placement is
// still being written has no run.
func (p *Pool) noteLostRun(m *member, reason string) {
	u, w := m.unit, m.worker
	if m.state == memberNone {
		return
	}
	ranMillis := p.loop.Now().Sub(u.startedAt).Milliseconds()
	if w.unanswered > 0 {
		ranMillis = w.silentAt.Sub(u.startedAt).Milliseconds()
	}
	if !u.startedHere {
		ranMillis = 0
	}
	p.record.Count("attempts", "lost")
	p.record.Decided("run lost", "job", u.job.id, "task", m.name().String(), "run", u.run, "worker", w.ID, "reason", reason,
		"confirmed", m.state == memberRunning, "ran_ms", ranMillis)
}
