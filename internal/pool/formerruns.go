package pool

import (
	"slices"
	"time"

	"github.com/wheatroad/wheatroad/internal/fleet"
)

// What becomes of runs that were placed in a former life of their worker. Those that surely ended with
// it are lost at once; the others are looked for in the next life.

// loseFormerRuns settles the members that were confirmed in the former life before the next one
// was asked, and are not in its account.
func (p *Pool) loseFormerRuns(w *worker, reply fleet.Reply, sentAt time.Time) {
	listed := namesOf(reply.Running)
	for i := range reply.Ended {
		listed[runName{task: reply.Ended[i].Task, run: reply.Ended[i].Run}] = true
	}
	all := w.members
	w.members = nil
	var kept []*member
	for _, m := range all {
		if m.overWithLife(sentAt, p.options.Without) && !listed[runName{task: m.name(), run: m.unit.run}] {
			w.members = append(w.members, m)
		} else {
			kept = append(kept, m)
		}
	}
	p.loseRuns(w, lostWithLife)
	w.members = append(w.members, kept...)
}

// overWithLife reports whether the member's run surely is over if it is in no account that the
// next life of its worker gave on a question of sentAt. A start of this owner without an answer, or
// a copy of one, may come to the next life; one of an earlier owner is fenced there by the question.
// A run that is being stopped is in no account, but if it was confirmed in the former life.
func (m *member) overWithLife(sentAt time.Time, without Without) bool {
	switch m.state {
	case memberNone:
		return true
	case memberUncertain:
		return m.confirmedBefore
	case memberRunning:
		open := m.doubtful || m.inUnknownLife || m.startTries != nil && m.startTries.open > 0
		return (!open || without.OpenStarts) && !m.stopTried && m.sentAt.Before(sentAt)
	}
	return false
}

// loseFormerMembers settles the members that an earlier owner had confirmed in a former life of the
// worker, by the first account of the present one.
func (p *Pool) loseFormerMembers(w *worker, listed map[*member]bool) {
	var formers []*worker
	for _, m := range slices.Clone(w.members) {
		if m.formerLife.ID == "" || m.state != memberUncertain || !m.sentAt.IsZero() || listed[m] {
			continue
		}
		index := slices.IndexFunc(formers, func(known *worker) bool { return known.Life == m.formerLife })
		if index < 0 {
			index = len(formers)
			formers = append(formers, &worker{Worker: fleet.Worker{Life: m.formerLife, Address: w.Address}})
		}
		former := formers[index]
		w.members = slices.DeleteFunc(w.members, func(other *member) bool { return other == m })
		former.members = append(former.members, m)
		m.worker, m.confirmedBefore = former, true
	}
	for _, former := range formers {
		p.loseRuns(former, lostWithLife)
	}
}

// leaveLife notes that the member's run was last known in a life that has ended. It is looked for
// in the next one, where nothing has confirmed it.
func (m *member) leaveLife(life fleet.Life) {
	if m.wasConfirmed() {
		m.formerLife = life
	}
	m.confirmedBefore = false
}

// endedWithFormerLife counts the loss of a worker's former life under a run that is not in the next
// one. When it ended is not known, so that it is no evidence.
func (m *member) endedWithFormerLife() {
	if m.formerLife.ID == "" {
		return
	}
	if history := m.lossHistory(); history != nil {
		history.AddUnexplained(m.formerLife.String())
	}
}
