package pool

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/fleet"
	"github.com/wheatroad/wheatroad/internal/poison"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// How the owner learned that a run was lost with its worker.
const (
	// lostWithInstance: another instance answers at the worker's address.
	lostWithInstance = "worker replaced"
	// lostWithLease: the worker was silent until its lease had run out.
	lostWithLease = "lease ran out"
)

// loseRuns settles all members on a worker that no longer runs anything and will list no
// ends. One of them may have crashed it.
func (p *Pool) loseRuns(w *worker, reason string) {
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
func (p *Pool) noteLostRun(m *member, reason string) {
	u, w := m.unit, m.worker
	if m.state == memberNone {
		return
	}
	ranMillis := max(0, w.lastAlive(p.loop.Now()).Sub(u.startedAt).Milliseconds())
	if !u.startedHere {
		ranMillis = 0
	}
	p.record.Count("attempts", "lost")
	p.record.Decided("run lost", "job", u.job.id, "task", m.name().String(), "run", u.run, "worker", w.ID, "reason", reason,
		"confirmed", m.state == memberRunning, "ran_ms", ranMillis)
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
func (p *Pool) recordLoss(w *worker, reason string) {
	if w.Draining || w.departing {
		// It left by plan, and took with it what was not moved in time.
		for _, m := range w.members {
			if m.losses.Count() > 0 {
				m.losses.AddUnexplained(w.ID)
			}
		}
		return
	}
	at := w.lastAlive(p.loop.Now())
	loss := poison.Loss{
		Worker: w.ID, Address: w.Address, At: at,
		Replaced: reason == lostWithInstance || p.addressTaken(w),
	}
	for _, m := range w.members {
		presence := m.presenceAt(at)
		if presence == neverThere {
			continue
		}
		switch history := m.lossHistory(); {
		case history == nil:
		case presence == perhapsThere:
			history.AddUnexplained(w.ID)
		default:
			loss.Suspects = append(loss.Suspects, poison.Suspect{History: history, Age: m.unit.ageAt(at)})
		}
	}
	p.lossLedger.SetWorkers(len(p.workers))
	p.lossLedger.Lost(loss)
}

// presence says whether a run can have been on a worker when that was lost.
type presence int

const (
	// neverThere runs were not started, or their starts were refused or came after the worker
	// had fallen silent: an owner whose listing is old places tasks on workers that have died.
	neverThere presence = iota
	// perhapsThere runs have a start without an answer, on a worker that may have died before.
	perhapsThere
	// surelyThere runs were confirmed, or begun by an earlier owner, or ordered while a hold
	// was open, whose connection the crash reset.
	surelyThere
)

// presenceAt tells whether the member's run was on its worker when that was lost.
func (m *member) presenceAt(at time.Time) presence {
	u := m.unit
	switch {
	case m.state == memberNone, u.startedHere && at.Before(u.startedAt):
		return neverThere
	case !u.startedHere, m.state == memberRunning:
		return surelyThere
	case !m.doubtful:
		return neverThere
	case m.watched:
		return surelyThere
	}
	return perhapsThere
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

// unknownAge is taken for the age of runs that an earlier owner started: between those that
// crash their worker at once and the usual length of a run, some seconds.
const unknownAge = 2 * time.Second

// ageAt is how old the unit's run was at a time.
func (u *unit) ageAt(at time.Time) time.Duration {
	age := at.Sub(u.startedAt)
	if !u.startedHere {
		return max(unknownAge, age)
	}
	return age
}

// historiesLimit bounds the members of one unit whose losses are kept in its row. More are
// lost at once only with racks, which says nothing of a task.
const historiesLimit = 16

// lossHistory returns the member's history, creating it if need be; nil if the unit has too
// many.
func (m *member) lossHistory() *poison.History {
	u := m.unit
	if m.losses != nil {
		return m.losses
	}
	if len(u.suspects()) >= historiesLimit {
		return nil
	}
	if u.lossGroup == nil {
		u.lossGroup = poison.NewGroup()
	}
	m.losses = u.lossGroup.NewHistory(nil)
	return m.losses
}

// suspects lists the members under which workers were lost.
func (u *unit) suspects() []*member {
	if u.lossGroup == nil {
		return nil
	}
	var suspects []*member
	for _, m := range u.members {
		if m.losses.Count() > 0 {
			suspects = append(suspects, m)
		}
	}
	return suspects
}

// keptLosses renders the losses for the unit's row.
func (u *unit) keptLosses() []memberLosses {
	var kept []memberLosses
	for _, m := range u.suspects() {
		kept = append(kept, memberLosses{Member: m.index, Records: m.losses.Records()})
	}
	return kept
}

// restoreLosses takes over what an earlier owner kept of lost workers.
func (p *Pool) restoreLosses(u *unit, kept []memberLosses) {
	if len(kept) == 0 {
		return
	}
	u.lossGroup = poison.NewGroup()
	for _, losses := range kept {
		for _, m := range u.members {
			if m.index == losses.Member {
				m.losses = u.lossGroup.NewHistory(losses.Records)
				p.lossLedger.Restore(m.losses)
			}
		}
	}
}

// giveUpPoison ends the unit's job if one of its tasks crashes the workers that start it:
// each further start would take down another one. It returns true if it did.
func (p *Pool) giveUpPoison(u *unit) bool {
	if p.options.Without.LossRecords || u.job.next.Final() {
		return false
	}
	for _, m := range u.suspects() {
		verdict := m.losses.Verdict()
		if !verdict.Poison() {
			continue
		}
		p.record.Count("given_up", string(verdict))
		p.record.Decided("job given up", "job", u.job.id, "task", m.name().String(), "reason", string(verdict),
			"losses", m.losses.Count(), "odds", m.losses.Odds(), "workers", m.losses.Workers())
		p.finishJob(u.job, taskgraph.Failed)
		return true
	}
	return false
}
