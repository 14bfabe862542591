package pool

import "time"

const (
	// leaseDuration is how far each poll extends the lease of a worker's runs, unless the
	// platform's bound is lower. A shorter extension frees the capacity of failed workers sooner.
	leaseDuration = 6 * time.Second
	// clockDrift is the fraction by which a worker's clock may be slower than the owner's.
	clockDrift = 0.02
	// leaseExpiryMargin is added to the end of a lease before its runs count as lost.
	leaseExpiryMargin = 300 * time.Millisecond
)

// estimatedClock returns a lower estimate of the worker's clock, so that leases never end later
// than intended. After a long idle time the estimate may be so low that the worker refuses a start
// as late. The refusal carries the worker's clock.
func (w *worker) estimatedClock(now time.Time) int64 {
	elapsed := float64(now.Sub(w.clockAt).Milliseconds())
	return w.clock + int64(elapsed*(1-clockDrift))
}

// leasesExpired reports whether all leases of the worker have certainly expired.
func (p *Pool) leasesExpired(w *worker) bool {
	deadline := w.deadline
	if p.options.DisabledSafeguards.LeaseExpiryWait {
		return true
	}
	if deadline == 0 {
		// This owner granted no lease. The former owner may have granted leases until this owner
		// had fenced the progress partitions.
		since := w.clockAt
		if p.progressFencedAt.After(since) && !p.options.DisabledSafeguards.FormerOwnerLeaseWait {
			since = p.progressFencedAt
		}
		return p.loop.Now().Sub(since) > p.formerLeaseWait()
	}
	return w.estimatedClock(p.loop.Now()) > deadline+leaseExpiryMargin.Milliseconds() && !p.formerLeaseMayLast(w)
}

// formerLeaseWait is how long the leases of former owners last at most, from when this owner had fenced the
// progress partitions.
func (p *Pool) formerLeaseWait() time.Duration {
	return time.Duration(float64(p.options.Bounds.MaxLease)*(1+clockDrift)) + leaseExpiryMargin
}

// formerLeaseMayLast reports whether a worker that has answered this owner may still have a lease that a former
// owner granted. A worker keeps its lease when its last run ends, and no order shortens it: runs that this
// owner starts there may go on until its end, whatever deadline their starts have. From its first report on
// the worker refuses the orders of former owners.
func (p *Pool) formerLeaseMayLast(w *worker) bool {
	now := p.loop.Now()
	switch {
	case p.options.DisabledSafeguards.FormerOwnerLease || !p.hasFormerOwner:
		return false
	case !p.progressFencedAt.IsZero() && now.Sub(p.progressFencedAt) > p.formerLeaseWait():
		return false
	}
	return w.estimatedClock(now) <= w.firstReportMillis+(p.options.Bounds.MaxLease+leaseExpiryMargin).Milliseconds()
}

// expireLeases marks the runs of unresponsive workers as lost once the lease has expired.
func (p *Pool) expireLeases() {
	for _, w := range p.sortedWorkers() {
		silent := w.unansweredCalls > 0 || (!w.contacted && p.loaded)
		if silent && len(w.members) > 0 && p.leasesExpired(w) {
			p.recordExpiredLease(w)
			p.markRunsLost(w, lostLeaseExpired)
			p.removeIfIdle(w)
		} else if silent && !w.hasRow && p.leasesExpired(w) {
			p.removeIfIdle(w)
		}
	}
}

// recordExpiredLease logs that all leases of a worker with runs have expired. The lease is this owner's
// if the owner has granted one, and otherwise the longest that the former owner may have granted.
func (p *Pool) recordExpiredLease(w *worker) {
	now := p.loop.Now()
	p.record.LogEvent("worker lease expired", "worker", w.ID, "born", w.StartMillis, "runs", len(w.members), "address", w.Address, "contacted", w.contacted,
		"granted", w.deadline > 0, "answered_ms_ago", now.Sub(w.clockAt).Milliseconds(), "acquired_ms_ago", now.Sub(p.acquiredAt).Milliseconds())
}
