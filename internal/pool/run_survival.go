package pool

import "time"

// A run that has outlived the ages at which workers were lost under its task hardly crashes its worker.
// Otherwise a task that runs for long would keep its workers to itself for as long as it runs.

// runSurvival measures for how long a run has been at work. It uses the worker's clock, since an answer
// may be handled long after it was sent. The zero value measures nothing.
type runSurvival struct {
	begun bool
	// since is the worker's clock, in milliseconds, at which the measurement began, and ageThen the age
	// that the run had at least.
	since   int64
	ageThen time.Duration
}

// measureSurvival begins to measure the survival of the member's present run once all members of its
// unit are running. gangTimeout bounds the time for which members of a gang wait for each other.
func (m *member) measureSurvival(gangTimeout time.Duration) {
	u := m.unit
	if m.survival.begun || u.runningSince.IsZero() || m.incarnationUnknown {
		return
	}
	m.survival = runSurvival{begun: true, since: m.confirmation.workerMillis}
	if u.startedByThisOwner || !m.confirmedToEarlierOwner || u.earlierStartAt.IsZero() {
		return
	}
	atWorkSince := u.earlierStartAt
	if len(u.members) > 1 {
		atWorkSince = atWorkSince.Add(gangTimeout)
	}
	m.survival.ageThen = max(0, m.confirmation.receivedAt.Sub(atWorkSince))
}

// workedFor returns for how long the member's present run has been at work at least, by the worker's
// latest answer; 0 if unknown.
func (m *member) workedFor() time.Duration {
	if !m.survival.begun || m.state != memberRunning || m.unit.state != unitActive {
		return 0
	}
	measured := time.Duration(m.confirmation.workerMillis-m.survival.since) * time.Millisecond
	return m.survival.ageThen + max(0, measured)
}

// forgetOutlivedLosses forgets the losses of a unit's suspects whose present runs show that they do not
// crash their workers.
func (p *Pool) forgetOutlivedLosses(u *unit) {
	for _, m := range u.suspects() {
		losses := m.losses.LossCount()
		if !m.losses.RecordSurvival(m.workedFor()) {
			continue
		}
		p.record.Count("attempts", "losses_outlived")
		p.record.LogEvent("losses outlived", "job", u.job.id, "task", m.name().String(), "run", u.run, "losses", losses, "age_ms", m.workedFor().Milliseconds())
		p.scheduleConfirmationWrite(u)
	}
}
