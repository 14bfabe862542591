package pool

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/rows"
)

// confirmPeriod is the age of the last confirmation from which the lease row is read again. It
// is well below the shortest worker lease of 6 s. Each committed write confirms ownership too.
const confirmPeriod = time.Second

// Confirm records that this owner held the pool at a given time. Leases of runs may extend at
// most MaxHold beyond it, which is how long a successor waits for workers that it cannot reach.
// Otherwise an owner that was replaced while partitioned or suspended could keep runs alive
// that its successor has started elsewhere.
func (p *Pool) Confirm(at time.Time) {
	if at.After(p.confirmedAt) {
		p.confirmedAt = at
	}
}

// leaseLeft returns the longest lease that may be granted now.
func (p *Pool) leaseLeft(now time.Time) time.Duration {
	if p.options.Without.Confirmation {
		return p.options.Bounds.MaxHold
	}
	return p.confirmedAt.Add(p.options.Bounds.MaxHold).Sub(now)
}

// mayStart reports whether the remaining lease is long enough to start a run.
func (p *Pool) mayStart(now time.Time) bool {
	return p.leaseLeft(now) >= min(startTimeout, p.options.Bounds.MaxHold/2)
}

// checkConfirmation reads the lease row if the last confirmation of ownership is older than
// confirmPeriod.
func (p *Pool) checkConfirmation() {
	askedAt := p.loop.Now()
	if p.confirming || !p.loaded || askedAt.Sub(p.confirmedAt) < confirmPeriod {
		return
	}
	p.confirming = true
	p.ports.Scan(NodeTable, p.options.Pool, LeaseRow, func(listing rows.Listing, err error) {
		p.confirming = false
		if p.closed || err != nil {
			return
		}
		p.recordStoreAnswer()
		for i := range listing.Rows {
			if listing.Rows[i].Key == LeaseKey(p.options.Pool) && listing.Rows[i].Version != p.token {
				p.Abandon("lease taken")
				return
			}
		}
		p.Confirm(askedAt)
	})
}
