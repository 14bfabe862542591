package pool

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/fairshare"
)

// overdueTurns holds, by tenant, the unit that was placed last because it had waited longer than the
// wait bound. While it runs, no other overdue unit of its tenant goes first: else a long overload would
// put all work that is still in time last. A unit that runs on loses the turn after
// fairshare.OverdueTurn, so that the wait of the others stays bounded.
type overdueTurns map[string]overdueTurn

type overdueTurn struct {
	unit  *unit
	until time.Time
}

// taken reports whether a tenant's turn is taken by a unit that was placed.
func (o overdueTurns) taken(tenant string, now time.Time) bool {
	turn, found := o[tenant]
	if !found {
		return false
	}
	over := turn.unit.state == unitWaiting || turn.unit.state == unitEnded || !now.Before(turn.until)
	if over {
		delete(o, tenant)
	}
	return !over
}

// tried records that the pool has tried to place the unit that has its tenant's turn. A unit that the
// pool cannot place passes the turn on at once. One with a reservation does so after
// fairshare.OverdueTurn, since what it waits for may never come free.
func (o overdueTurns) tried(u *unit, result placeResult, now time.Time) {
	if u.overdueTurnSince.IsZero() {
		u.overdueTurnSince = now
	}
	switch {
	case result == unitPlaced:
		o[u.job.Tenant] = overdueTurn{unit: u, until: now.Add(fairshare.OverdueTurn)}
	case result == unitReserved && now.Sub(u.overdueTurnSince) < fairshare.OverdueTurn:
		return
	default:
		u.overdueMissedAt = now
	}
	u.overdueTurnSince = time.Time{}
}
