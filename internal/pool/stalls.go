package pool

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/mechanism"
)

// Detection of stalled runs. The duration of a stall is unknown; a restart after a wait as long
// as the time that it loses costs at most twice the optimum.
const (
	// A run is stalled once its progress has not changed for stallPeriod and for stallShare of
	// its estimate. Progress is reported in whole percent, so a run that takes eight times its
	// estimate still progresses within that time.
	stallPeriod = time.Second
	stallShare  = 0.08
	// nearEnd is the progress in percent from which a member of a gang may be waiting for the
	// others.
	nearEnd = 95
	// stallLimit, or stallLimitShare of the estimate if that is longer, bounds the wait for a
	// stalled run, however much a restart loses.
	stallLimit      = 8 * time.Second
	stallLimitShare = 0.4
	// stallDoublings bounds the doublings of these times, one for each stall of the unit. Work
	// that takes far longer than its estimate looks stalled on any worker. The longest wait is
	// 34 minutes, one percent of two days.
	stallDoublings = 8
	// ownStalls is the number of stalls from which the unit's own work counts as slow.
	ownStalls = 2
	// gangPatience is the share of the gang timeout after which a gang with unanswered starts
	// is stopped.
	gangPatience = 0.6
	// firstLook is the age of a run from which its worker is polled if it reports no progress,
	// and lookPause the minimum time between polls.
	firstLook = 600 * time.Millisecond
	lookPause = 400 * time.Millisecond
)

// checkUnits stops units with unanswered starts, and checks active runs for stalls and stragglers.
func (p *Pool) checkUnits() {
	now := p.loop.Now()
	startTimeout := time.Duration(gangPatience * float64(p.options.Bounds.GangTimeout))
	for _, w := range p.sortedWorkers() {
		for _, m := range w.members {
			u := m.unit
			switch {
			case u.state != unitActive:
			case m.state == memberUncertain && now.Sub(u.startedAt) > startTimeout:
				p.stopUnit(u, "start unanswered")
			default:
				p.checkProgress(m, now)
				if m == u.members[0] && u.state == unitActive {
					p.checkLaggards(u, now)
				}
			}
		}
	}
}

// checkProgress restarts a unit whose run has been stalled for long enough, and polls the worker
// of a young run for its progress.
func (p *Pool) checkProgress(m *member, now time.Time) {
	stalled := p.stalledFor(m)
	if stalled > 0 && p.quickStalls() && !m.unit.seemsSlow() {
		p.leaveAlone(m.worker, "a run stands still", now)
	}
	if stalled > 0 && stalled >= p.stallPatience(m) {
		p.stopStanding(m.unit)
		return
	}
	if p.wantsLook(m, now) && now.Sub(m.worker.lookedAt) > lookPause {
		p.look(m.worker)
	}
}

// wantsLook reports whether a run's worker should be polled: while the run shows no progress, and
// for gangs until each member can be compared with the others.
func (p *Pool) wantsLook(m *member, now time.Time) bool {
	u := m.unit
	if m.state != memberRunning || !u.startedHere || u.runningSince.IsZero() || u.spec().LongRunning || now.Sub(u.runningSince) < firstLook {
		return false
	}
	if p.quickStalls() && m.percent == 0 {
		return true
	}
	return !p.options.Off[mechanism.Laggards] && len(u.members) > 1 && m.listedAt.Sub(u.runningSince) < projectionAge
}

func (p *Pool) quickStalls() bool { return !p.options.Off[mechanism.QuickStalls] }

// stalledFor returns for how long a run has been stalled according to its worker's reports; 0 if it
// makes progress, may wait for other members of its gang, or has no reports yet.
func (p *Pool) stalledFor(m *member) time.Duration {
	u := m.unit
	if m.state != memberRunning || u.spec().LongRunning || m.percentAt.IsZero() || m.percent >= nearEnd {
		return 0
	}
	if u.startedHere && u.runningSince.IsZero() {
		return 0
	}
	since := m.percentAt
	if u.startedHere && (m.percent == 0 || u.runningSince.After(since)) {
		since = u.runningSince
	}
	limit := max(stallPeriod, time.Duration(stallShare*float64(u.estimate()))) << min(u.stalls, stallDoublings)
	if u.resumed {
		limit += restoreAllowance
	}
	if stalled := m.listedAt.Sub(since); stalled >= limit {
		return stalled
	}
	return 0
}

// stallPatience returns how long a run may be stalled before its unit is restarted.
func (p *Pool) stallPatience(m *member) time.Duration {
	limit := max(stallLimit, time.Duration(stallLimitShare*float64(m.unit.estimate()))) << min(m.unit.stalls, stallDoublings)
	if !p.quickStalls() {
		return limit
	}
	return min(limit, p.workAtStake(m))
}

// workAtStake returns how much of a run's time a restart loses.
func (p *Pool) workAtStake(m *member) time.Duration {
	runTime := m.percentAt.Sub(m.unit.startedAt)
	if m.unit.spec().Checkpoints {
		return min(runTime, p.options.Bounds.CheckpointInterval)
	}
	return runTime
}

// seemsSlow reports whether the unit itself is slow rather than its workers, since it stalled on
// several sets of workers.
func (u *unit) seemsSlow() bool { return u.stalls >= ownStalls }

// stopStanding stops a stalled unit to restart it, and excludes the workers on which it stalled.
func (p *Pool) stopStanding(u *unit) {
	u.stalls++
	if u.seemsSlow() {
		// The workers are not the cause, and there may be no others.
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
		if !u.spec().Gang || p.quickStalls() {
			p.leaveAlone(m.worker, "a run stands still", now)
		}
	}
	p.stopUnit(u, "stands still")
}

// noteRunning sets runningSince once the starts of all members are confirmed.
func (u *unit) noteRunning(now time.Time) {
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
