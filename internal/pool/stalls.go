package pool

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/mechanism"
)

// When a run counts as standing still, and how long that is waited for. Nobody knows how
// long a stall lasts. To move a run after a wait as long as what the move throws away
// costs at most twice what it would cost to know.
const (
	// A run stands still once its progress has not changed for stallPeriod and for
	// stallShare of its estimate. Progress comes in percent: a run that takes eight times
	// its estimate still shows one of them in that time.
	stallPeriod = time.Second
	stallShare  = 0.08
	// nearEnd is the percent from which a member of a gang may be waiting for the others.
	nearEnd = 95
	// stallLimit, and stallLimitShare of the estimate if that is longer, bound how long a
	// stall is waited for whatever a move throws away.
	stallLimit      = 8 * time.Second
	stallLimitShare = 0.4
	// stallDoublings bounds how often these times double: with each stall of a unit, since
	// work that takes far longer than its estimate seems to stand still on any worker. The
	// last is 34 minutes, in which a percent of two days' work is done.
	stallDoublings = 8
	// ownStalls is the number of stalls from which a unit's own work counts as slow.
	ownStalls = 2
	// gangPatience is the share of the gang timeout after which a gang without all of its
	// members is taken back.
	gangPatience = 0.6
	// firstLook is how long after its start a run is looked at that nothing was heard of,
	// and lookPause the pause until it is looked at again while it shows no progress.
	firstLook = 600 * time.Millisecond
	lookPause = 400 * time.Millisecond
)

// checkUnits takes back gangs that do not come together and runs that stand still.
func (p *Pool) checkUnits() {
	now := p.loop.Now()
	patience := time.Duration(gangPatience * float64(p.options.Bounds.GangTimeout))
	for _, w := range p.sortedWorkers() {
		for _, m := range w.members {
			u := m.unit
			switch {
			case u.state != unitActive:
			case m.state == memberUncertain && now.Sub(u.startedAt) > patience:
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

// checkProgress looks at a run that has shown no progress yet, and moves one that has
// stood still for long enough.
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

// wantsLook reports whether a young run should be looked at: one that shows no progress
// yet, and once each member of a gang, to compare them.
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

// stalledFor returns how long a run has made no progress by what its worker has listed, or
// 0 if it moves, waits for others of its gang, or is not known to do neither.
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

// stallPatience is how long a run's stall is waited for.
func (p *Pool) stallPatience(m *member) time.Duration {
	longest := max(stallLimit, time.Duration(stallLimitShare*float64(m.unit.estimate()))) << min(m.unit.stalls, stallDoublings)
	if !p.quickStalls() {
		return longest
	}
	return min(longest, p.workAtStake(m))
}

// workAtStake is how much of a run's time a move throws away.
func (p *Pool) workAtStake(m *member) time.Duration {
	worked := m.percentAt.Sub(m.unit.startedAt)
	if m.unit.spec().Checkpoints {
		return min(worked, p.options.Bounds.CheckpointInterval)
	}
	return worked
}

// seemsSlow reports whether it is the unit's own work that seems to stand still, since it
// did so on several sets of workers.
func (u *unit) seemsSlow() bool { return u.stalls >= ownStalls }

// stopStanding moves a unit away from the workers on which it stands still.
func (p *Pool) stopStanding(u *unit) {
	u.stalls++
	if u.seemsSlow() {
		// Its workers are not to blame, and may be all there are.
		u.avoid = nil
		p.stopUnit(u, "stands still")
		return
	}
	if u.avoid == nil {
		u.avoid = map[string]bool{}
	}
	now := p.loop.Now()
	for _, m := range u.members {
		if m.worker == nil || p.stalledFor(m) == 0 {
			continue
		}
		u.avoid[m.worker.ID] = true
		if !u.spec().Gang || p.quickStalls() {
			p.leaveAlone(m.worker, "a run stands still", now)
		}
	}
	p.stopUnit(u, "stands still")
}

// noteRunning notes that a member's start was confirmed. The work of a gang begins with
// its last member.
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
