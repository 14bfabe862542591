package pool

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/health"
	"github.com/wheatroad/wheatroad/internal/mechanism"
)

// Detection of stalled runs. The duration of a stall is unknown. If the owner waits as long as the
// run time that a restart loses, the cost is at most twice the optimum.
const (
	// A run is stalled once its progress has not changed for stallPeriod and for stallEstimateShare
	// of its estimate. Progress is reported in whole percent, so a run that takes eight times its
	// estimate still progresses within that time.
	stallPeriod        = time.Second
	stallEstimateShare = 0.08
	// nearEndPercent is the progress in percent from which a member of a gang may be waiting for
	// the other members.
	nearEndPercent = 95
	// maxStallTimeout, or maxStallTimeoutShare of the estimate if that is longer, bounds the wait
	// for a stalled run, however much a restart loses.
	maxStallTimeout      = 8 * time.Second
	maxStallTimeoutShare = 0.4
	// maxStallDoublings bounds the doublings of these times. Each stall of the unit doubles them,
	// since work that takes far longer than its estimate looks stalled on any worker. After the
	// last doubling, maxStallTimeout is 34 minutes, in which a percent of two days' work is done.
	maxStallDoublings = 8
	// slowWorkStalls is the number of stalls from which the unit's own work counts as slow.
	slowWorkStalls = 2
	// gangStartTimeoutShare is the share of the gang timeout after which a gang with unanswered
	// starts is stopped.
	gangStartTimeoutShare = 0.6
	// firstPollDelay is the age of a run from which the owner polls a worker that reports no
	// progress. pollInterval is the minimum time between such polls.
	firstPollDelay = 600 * time.Millisecond
	pollInterval   = 400 * time.Millisecond
)

// checkUnits stops units with unanswered starts, and checks active runs for stalls and stragglers.
func (p *Pool) checkUnits() {
	now := p.loop.Now()
	startTimeout := time.Duration(gangStartTimeoutShare * float64(p.options.Bounds.GangTimeout))
	for _, w := range p.sortedWorkers() {
		for _, m := range w.members {
			u := m.unit
			switch {
			case u.state != unitActive:
			case m.state == memberUnconfirmed && now.Sub(u.startedAt) > startTimeout:
				p.stopUnit(u, "start unanswered")
			default:
				p.checkProgress(m, now)
				if m == u.members[0] && u.state == unitActive {
					p.checkStragglers(u, now)
					p.forgetOutlivedLosses(u)
				}
			}
		}
	}
}

// checkProgress restarts a unit whose run has been stalled for stallTimeout, and polls the worker
// of a run that has not shown progress yet.
func (p *Pool) checkProgress(m *member, now time.Time) {
	stalled := p.stalledFor(m)
	if stalled > 0 && p.adaptiveStallTimeout() && !m.unit.slowByItself() {
		p.excludeWorker(m.worker, "run makes no progress", now)
	}
	if stalled > 0 && stalled >= p.stallTimeout(m) {
		p.restartStalled(m.unit)
		return
	}
	if p.needsPoll(m, now) && now.Sub(m.worker.polledAt) > pollInterval {
		p.pollNow(m.worker)
	}
}

// needsPoll reports whether a run's worker should be polled. The worker is polled while the run
// shows no progress. The workers of a gang are also polled until the members can be compared.
func (p *Pool) needsPoll(m *member, now time.Time) bool {
	u := m.unit
	if m.state != memberRunning || !u.startedByThisOwner || u.runningSince.IsZero() || u.spec().LongRunning || now.Sub(u.runningSince) < firstPollDelay {
		return false
	}
	if p.adaptiveStallTimeout() && m.percent == 0 {
		return true
	}
	return !p.options.DisabledMechanisms[mechanism.Stragglers] && len(u.members) > 1 && m.reportedAt.Sub(u.runningSince) < minProjectionAge
}

func (p *Pool) adaptiveStallTimeout() bool {
	return !p.options.DisabledMechanisms[mechanism.AdaptiveStallTimeout]
}

// stalledFor returns for how long a run has been stalled according to its worker's reports; 0 if it
// makes progress, may wait for other members of its gang, or has no reports yet.
func (p *Pool) stalledFor(m *member) time.Duration {
	u := m.unit
	if m.state != memberRunning || u.spec().LongRunning || m.percentChangedAt.IsZero() || m.percent >= nearEndPercent {
		return 0
	}
	if u.startedByThisOwner && u.runningSince.IsZero() {
		return 0
	}
	since := m.percentChangedAt
	if u.startedByThisOwner && (m.percent == 0 || u.runningSince.After(since)) {
		since = u.runningSince
	}
	limit := max(stallPeriod, time.Duration(stallEstimateShare*float64(u.estimate()))) << min(u.stalls, maxStallDoublings)
	if u.fromCheckpoint {
		limit += health.RestoreAllowance
	}
	if stalled := m.reportedAt.Sub(since); stalled >= limit {
		return stalled
	}
	return 0
}

// stallTimeout returns how long a run may be stalled before its unit is restarted.
func (p *Pool) stallTimeout(m *member) time.Duration {
	limit := max(maxStallTimeout, time.Duration(maxStallTimeoutShare*float64(m.unit.estimate()))) << min(m.unit.stalls, maxStallDoublings)
	if !p.adaptiveStallTimeout() {
		return limit
	}
	return min(limit, p.unsavedTime(m))
}

// unsavedTime returns how much of a run's time a restart loses.
func (p *Pool) unsavedTime(m *member) time.Duration {
	runTime := m.percentChangedAt.Sub(m.unit.startedAt)
	if m.unit.spec().Checkpoints {
		return min(runTime, p.options.Bounds.CheckpointInterval)
	}
	return runTime
}

// slowByItself reports whether the unit itself is considered slow rather than its workers, since
// the unit stalled on several sets of workers.
func (u *unit) slowByItself() bool { return u.stalls >= slowWorkStalls }

// restartStalled stops a stalled unit to restart it, and excludes the workers on which it stalled.
func (p *Pool) restartStalled(u *unit) {
	u.stalls++
	if u.slowByItself() {
		// The workers are not the cause, and the pool may have no other workers for the unit.
		u.excludedWorkers = nil
		p.stopUnit(u, "stands still")
		return
	}
	if u.excludedWorkers == nil {
		u.excludedWorkers = map[string]bool{}
	}
	now := p.loop.Now()
	for _, m := range u.members {
		if m.worker == nil || p.stalledFor(m) == 0 {
			continue
		}
		u.excludedWorkers[m.worker.ID] = true
		if !u.spec().Gang || p.adaptiveStallTimeout() {
			p.excludeWorker(m.worker, "run makes no progress", now)
		}
	}
	p.stopUnit(u, "stands still")
}

// updateRunningSince sets runningSince once the starts of all members are confirmed.
func (u *unit) updateRunningSince(now time.Time) {
	if !u.runningSince.IsZero() {
		return
	}
	for _, m := range u.members {
		if m.state != memberRunning {
			return
		}
	}
	u.runningSince = now
}
