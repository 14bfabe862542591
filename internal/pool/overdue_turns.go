package pool

import (
	"maps"
	"time"

	"github.com/wheatroad/wheatroad/internal/fairshare"
)

// overdueTurns holds, by tenant and priority, the unit that was placed last because it had waited longer
// than the wait bound. While it runs, no other overdue unit of its tenant and priority goes first: else
// a long overload would put all work that is still in time last. A unit that runs on loses the turn
// after fairshare.OverdueTurn, so that the wait of the others stays bounded.
type overdueTurns map[overdueQueue]overdueTurn

// overdueQueue identifies the overdue units of one tenant and priority. Their turn goes to the one that
// has been overdue for longest since it last passed the turn on.
type overdueQueue struct {
	tenant   string
	priority int
}

func overdueQueueOf(u *unit) overdueQueue {
	return overdueQueue{tenant: u.job.Tenant, priority: u.job.Queue.Priority}
}

type overdueTurn struct {
	unit  *unit
	until time.Time
}

// choose returns the waiting units that have their queue's turn. They have waited longer than the wait
// bound, and no other unit has taken the turn. guaranteed units need none.
func (o overdueTurns) choose(waiting []*unit, guaranteed func(*unit) bool, now time.Time) map[*unit]bool {
	candidates := map[overdueQueue]*unit{}
	for _, u := range waiting {
		if !fairshare.ExceedsWaitBound(u.slack(now), u.job.objective) || guaranteed(u) {
			continue
		}
		queue := overdueQueueOf(u)
		first := candidates[queue]
		if first == nil || u.queuedForTurnSince(now).Before(first.queuedForTurnSince(now)) {
			candidates[queue] = u
		}
	}
	chosen := map[*unit]bool{}
	for queue, u := range candidates {
		if !o.taken(queue, now) {
			chosen[u] = true
		}
	}
	return chosen
}

// queuedForTurnSince returns when an overdue unit became overdue, or when it last passed its turn on if
// that was later.
func (u *unit) queuedForTurnSince(now time.Time) time.Time {
	overdueSince := now.Add(u.slack(now) + fairshare.WaitBound(u.job.objective))
	if u.overdueMissedAt.After(overdueSince) {
		return u.overdueMissedAt
	}
	return overdueSince
}

// taken reports whether a queue's turn is taken by a unit that was placed.
func (o overdueTurns) taken(queue overdueQueue, now time.Time) bool {
	turn, found := o[queue]
	return found && !turn.over(now)
}

// over reports whether the unit no longer runs or has had its time.
func (t overdueTurn) over(now time.Time) bool {
	return t.unit.state == unitWaiting || t.unit.state == unitEnded || !now.Before(t.until)
}

// prune forgets the turns that are over.
func (o overdueTurns) prune(now time.Time) {
	maps.DeleteFunc(o, func(_ overdueQueue, turn overdueTurn) bool { return turn.over(now) })
}

// tried records that the pool has tried to place the unit that has its queue's turn. A unit that the
// pool cannot place passes the turn on at once. One with a reservation does so after
// fairshare.OverdueTurn, since what it waits for may never come free.
func (o overdueTurns) tried(u *unit, result placeResult, now time.Time) {
	if u.overdueTurnSince.IsZero() {
		u.overdueTurnSince = now
	}
	switch {
	case result == unitPlaced:
		o[overdueQueueOf(u)] = overdueTurn{unit: u, until: now.Add(fairshare.OverdueTurn)}
	case result == unitReserved && now.Sub(u.overdueTurnSince) < fairshare.OverdueTurn:
		return
	default:
		u.overdueMissedAt = now
	}
	u.overdueTurnSince = time.Time{}
}
