package pool

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/rows"
)

// confirmPeriod is the age from which the store is asked whether this owner stands. The
// shortest lease of the platform's sites is 6 s; a busy owner's writes tell all the time.
const confirmPeriod = time.Second

// Confirm notes that this owner was surely not replaced at a time. It extends the leases of
// what runs, and starts more, only for as long as a successor waits that cannot reach a worker:
// the longest lease of a run from that time on. Else an owner that was replaced while it was cut
// off, frozen or suspended keeps tasks running that its successor takes as over, and they run
// twice at once.
func (p *Pool) Confirm(at time.Time) {
	if at.After(p.confirmedAt) {
		p.confirmedAt = at
	}
}

// leaseLeft is how long leases that are given now may last.
func (p *Pool) leaseLeft(now time.Time) time.Duration {
	if p.options.Without.Confirmation {
		return p.options.Bounds.MaxHold
	}
	return p.confirmedAt.Add(p.options.Bounds.MaxHold).Sub(now)
}

// mayStart reports whether a start that is sent now has time enough under this owner's lease.
func (p *Pool) mayStart(now time.Time) bool {
	return p.leaseLeft(now) >= min(startLimit, p.options.Bounds.MaxHold/2)
}

// checkConfirmation asks the store whether this owner stands, once that is not known from
// lately.
func (p *Pool) checkConfirmation() {
	askedAt := p.loop.Now()
	if p.confirming || !p.loaded || askedAt.Sub(p.confirmedAt) < confirmPeriod {
		return
	}
	p.confirming = true
	p.ports.Scan(NodeTable, p.options.Pool, LeaseRow, func(listing rows.Listing, err error) {
		p.confirming = false
		if p.gone || err != nil {
			return
		}
		p.noteStore()
		for i := range listing.Rows {
			if listing.Rows[i].Key == LeaseKey(p.options.Pool) && listing.Rows[i].Version != p.token {
				p.Abandon("lease taken")
				return
			}
		}
		p.Confirm(askedAt)
	})
}
