package pool

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/rows"
)

// ownershipCheckInterval is the maximum age of the last confirmation of ownership. When it is
// exceeded, the owner reads the lease row again. It is well below the shortest lease that a
// platform sets, 6 s. Each committed write confirms ownership too.
const ownershipCheckInterval = time.Second

// ConfirmOwnership records that this owner held the pool at a given time. Leases of runs may extend
// at most MaxLease beyond that time. A successor waits for MaxLease before it restarts the runs of
// workers that do not respond. Otherwise an owner that was replaced while partitioned or suspended
// could keep runs alive that its successor has started elsewhere.
func (p *Pool) ConfirmOwnership(at time.Time) {
	if at.After(p.ownershipConfirmedAt) {
		p.ownershipConfirmedAt = at
	}
}

// remainingLease returns the longest lease that may be granted now.
func (p *Pool) remainingLease(now time.Time) time.Duration {
	if p.options.DisabledSafeguards.Confirmation {
		return p.options.Bounds.MaxLease
	}
	return p.ownershipConfirmedAt.Add(p.options.Bounds.MaxLease).Sub(now)
}

// canStartWithinLease reports whether the remaining lease is long enough to start a run.
func (p *Pool) canStartWithinLease(now time.Time) bool {
	return p.remainingLease(now) >= min(startTimeout, p.options.Bounds.MaxLease/2)
}

// checkOwnership reads the lease row if the last confirmation of ownership is older than
// ownershipCheckInterval.
func (p *Pool) checkOwnership() {
	requestedAt := p.loop.Now()
	if p.confirmingOwnership || !p.loaded || requestedAt.Sub(p.ownershipConfirmedAt) < ownershipCheckInterval {
		return
	}
	p.confirmingOwnership = true
	p.ports.Scan(NodeTable, p.options.Pool, LeaseRow, func(listing rows.Listing, err error) {
		p.confirmingOwnership = false
		if p.closed || err != nil {
			return
		}
		p.recordStoreAnswer()
		for i := range listing.Rows {
			if listing.Rows[i].Key == LeaseKey(p.options.Pool) && listing.Rows[i].Version != p.token {
				p.Abandon("lease row replaced")
				return
			}
		}
		p.ConfirmOwnership(requestedAt)
	})
}
