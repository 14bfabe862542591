package pool

import (
	"github.com/wheatroad/wheatroad/internal/poison"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// maxLossHistories bounds the members of one unit whose losses are stored in its row. When more are
// lost, a shared cause such as a rack failure is likely.
const maxLossHistories = 16

// lossHistory returns the member's loss history and creates it if necessary. It returns nil if too
// many members of the unit have one.
func (m *member) lossHistory() *poison.History {
	u := m.unit
	if m.losses != nil {
		return m.losses
	}
	if len(u.suspects()) >= maxLossHistories {
		return nil
	}
	if u.lossGroup == nil {
		u.lossGroup = poison.NewGroup()
	}
	m.losses = u.lossGroup.NewHistory(nil)
	return m.losses
}

// suspects returns the members that ran on a worker when the worker was lost.
func (u *unit) suspects() []*member {
	if u.lossGroup == nil {
		return nil
	}
	var suspects []*member
	for _, m := range u.members {
		if m.losses.LossCount() > 0 {
			suspects = append(suspects, m)
		}
	}
	return suspects
}

// encodeLosses returns the losses in the form stored in the unit's row.
func (u *unit) encodeLosses() []memberLosses {
	var kept []memberLosses
	for _, m := range u.suspects() {
		kept = append(kept, memberLosses{Member: m.index, Records: m.losses.Records()})
	}
	return kept
}

// restoreLosses restores the losses that an earlier owner stored.
func (p *Pool) restoreLosses(u *unit, kept []memberLosses) {
	if len(kept) == 0 {
		return
	}
	u.lossGroup = poison.NewGroup()
	for _, losses := range kept {
		records := losses.Records
		if u.spec().LongRunning {
			// Long-running tasks run on draining workers to the end, which earlier versions counted.
			records = poison.WithoutPossibleShutdowns(records)
		}
		for _, m := range u.members {
			if m.index == losses.Member {
				m.losses = u.lossGroup.NewHistory(records)
				p.lossTracker.Restore(m.losses)
			}
		}
	}
}

// failPoisonJob fails the unit's job if one of its tasks crashes the workers that run it, since
// each further start would crash another worker. It returns true if it failed the job.
func (p *Pool) failPoisonJob(u *unit) bool {
	if p.options.DisabledSafeguards.LossRecords || u.job.pendingState.Final() {
		return false
	}
	for _, m := range u.suspects() {
		verdict := m.losses.Verdict()
		if !verdict.Poison() {
			continue
		}
		p.record.Count("given_up", string(verdict))
		p.logPoisonEvidence(m)
		p.record.LogEvent("poison job failed", "job", u.job.id, "task", m.name().String(), "reason", string(verdict),
			"losses", m.losses.LossCount(), "odds", m.losses.Odds(), "prior", p.lossTracker.PriorOdds(), "workers", m.losses.Workers())
		p.lossTracker.RecordPoison()
		p.finishJob(u.job, taskgraph.Failed)
		return true
	}
	return false
}

// logPoisonEvidence logs what each lost worker says about a task that is found to crash workers.
func (p *Pool) logPoisonEvidence(m *member) {
	for _, loss := range m.losses.Evidence() {
		p.record.LogEvent("poison evidence", "job", m.unit.job.id, "task", m.name().String(), "lost", loss.Worker,
			"age_ms", loss.Age.Milliseconds(), "age_known", loss.AgeKnown, "ratio", loss.Ratio, "no_evidence", loss.Unexplained, "conclusive", loss.Conclusive,
			"weighed_here", loss.Weighed, "chance_rate", loss.ChanceRate, "others", loss.Others, "others_rate", loss.OthersRate,
			"others_odds", loss.OthersOdds)
	}
}
