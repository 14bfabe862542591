package control

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wheatroad/wheatroad/internal/blackboard"
	"github.com/wheatroad/wheatroad/internal/store"
)

// considerOwnership acquires free domains that this node should own and hands
// back those that it should not.
func (n *Node) considerOwnership() {
	if n.stopped || n.watchRevision == 0 {
		return
	}
	names := sortedKeys(n.machinesByDomain())
	proposed := proposedOwners(names, n.liveMembers())
	for _, name := range names {
		owned := n.domains[name] != nil
		switch {
		case owned && n.shouldGiveUp(name, proposed, len(names)):
			n.domains[name].handBack("rebalance")
		case !owned && n.mayAcquire(name, proposed[name]):
			n.acquire(name)
		}
	}
}

// rebalanceAge is how many leases long a domain stays before it may move for the
// sake of an even spread, so that a proposed node which does not take it costs
// little.
const rebalanceAge = 5

// shouldGiveUp reports whether this node owns more than its even share and the
// domain is proposed for another.
func (n *Node) shouldGiveUp(name string, proposed map[string]string, domains int) bool {
	ready := 0
	for _, member := range n.liveMembers() {
		if member.State == blackboard.MemberReady {
			ready++
		}
	}
	other := proposed[name]
	if other == "" || other == n.options.Node || ready == 0 {
		return false
	}
	share := (domains + ready - 1) / ready
	age := n.loop.Now().Sub(n.domains[name].acquiredAt)
	return len(n.domains) > share && age > rebalanceAge*n.options.Timing.Lease
}

// mayAcquire reports whether a domain's lease is free and this node the one to
// take it. A node waits for a heartbeat after its start, so that of nodes that start
// together the first does not take everything. A node that is not proposed steps in when the proposed one does not.
func (n *Node) mayAcquire(name, proposed string) bool {
	if n.board.Draining || n.acquiring[name] || n.loop.Now().Sub(n.startedAt) < n.options.Timing.Heartbeat {
		return false
	}
	patience := time.Duration(0)
	if proposed != n.options.Node {
		patience = n.options.Timing.Lease
	}
	lease, exists := n.board.Leases[name]
	if !exists {
		return patience == 0
	}
	age := n.board.UpdatedAt.Sub(lease.ChangedAt)
	if lease.Value.Owner == "" {
		return age >= patience
	}
	if lease.Value.Owner == n.options.Node && lease.Value.Incarnation != n.options.Incarnation {
		// The predecessor on this machine is gone, but its last orders may still be
		// on their way; the lease runs out as for anyone else.
		patience = 0
	}
	return age >= n.options.Timing.Lease+patience
}

// acquire takes a domain with the next epoch. Both rows are conditions, so that
// of several nodes one wins, and the epoch row fences all writes of the last one.
func (n *Node) acquire(name string) {
	n.acquiring[name] = true
	leaseRevision := store.Absent
	epoch := n.board.EpochValues[name]
	if lease, ok := n.board.Leases[name]; ok {
		leaseRevision = lease.Revision
		epoch = max(epoch, lease.Value.Epoch)
	}
	epoch++
	lease := n.leaseRow(name, epoch)
	transaction := store.Transaction{
		Conditions: []store.Condition{
			{Key: leaseKey(name), Revision: leaseRevision},
			{Key: epochKey(name), Revision: n.board.EpochRevisions[name]},
		},
		Writes: []store.Write{write(leaseKey(name), lease), write(epochKey(name), epoch)},
	}
	sent := n.loop.Now()
	n.ports.Commit(transaction, func(result store.CommitResult, err error) {
		delete(n.acquiring, name)
		switch {
		case err != nil:
			// If it took effect all the same, the next read of the rows shows this
			// incarnation as the owner and checkOwnLease adopts or frees the domain.
			n.record.Count(CounterRetries, "lease_acquire")
		case !result.Committed:
			n.record.Count(CounterOwnership, "lost_race")
		default:
			n.own(name, epoch, result.Revision, sent)
		}
	})
}

func (n *Node) leaseRow(name string, epoch int64) blackboard.Lease {
	n.beat++
	row := blackboard.Lease{
		Domain: name, Owner: n.options.Node, Incarnation: n.options.Incarnation,
		PeerAddress: n.options.PeerAddress, Epoch: epoch, RenewalCount: n.beat,
	}
	if d := n.domains[name]; d != nil {
		row.Active = d.active
		row.Summary = d.summary()
	}
	return row
}

func (n *Node) own(name string, epoch, revision int64, sent time.Time) {
	n.record.Count(CounterOwnership, "acquired")
	n.record.LogStateChange("domain acquired", "domain", name, "epoch", epoch)
	d := newDomain(n, name, epoch, revision)
	d.leaseRevision = revision
	d.acquiredAt = sent
	d.validUntil = sent.Add(n.options.Timing.Lease - n.options.Timing.Margin)
	n.domains[name] = d
	d.recover()
	n.publish()
}

// checkOwnLease reacts to a lease row read from the table: it drops a domain that
// somebody else took and adopts one whose acquisition's answer was lost.
func (n *Node) checkOwnLease(name string) {
	lease, ok := n.board.Leases[name]
	d := n.domains[name]
	mine := ok && lease.Value.Owner == n.options.Node && lease.Value.Incarnation == n.options.Incarnation
	switch {
	case d != nil && ok && lease.Value.Epoch > d.epoch:
		d.drop("lease_lost")
	case d == nil && mine && !n.acquiring[name] && !n.board.Draining:
		n.adopt(name, lease)
	}
}

// adopt renews a lease that this node holds without knowing since when.
func (n *Node) adopt(name string, lease *blackboard.Observed[blackboard.Lease]) {
	n.acquiring[name] = true
	sent := n.loop.Now()
	epochRevision := n.board.EpochRevisions[name]
	transaction := store.Transaction{
		Conditions: []store.Condition{{Key: leaseKey(name), Revision: lease.Revision}},
		Writes:     []store.Write{write(leaseKey(name), n.leaseRow(name, lease.Value.Epoch))},
	}
	n.ports.Commit(transaction, func(result store.CommitResult, err error) {
		delete(n.acquiring, name)
		if err == nil && result.Committed && n.domains[name] == nil {
			n.own(name, lease.Value.Epoch, epochRevision, sent)
			n.domains[name].leaseRevision = result.Revision
		}
	})
}

// renewLeases renews the leases of all owned domains.
func (n *Node) renewLeases(done func()) {
	names := sortedKeys(n.domains)
	left := len(names)
	if left == 0 {
		done()
		return
	}
	for _, name := range names {
		n.domains[name].renew(func() {
			left--
			if left == 0 {
				done()
			}
		})
	}
}

// renew extends the domain's lease from before the renewal was sent. While the
// store is away nothing is extended, and nobody else can take the domain either.
func (d *domain) renew(done func()) {
	n := d.node
	sent := n.loop.Now()
	transaction := store.Transaction{
		Conditions: []store.Condition{{Key: leaseKey(d.name), Revision: d.leaseRevision}},
		Writes:     []store.Write{write(leaseKey(d.name), n.leaseRow(d.name, d.epoch))},
	}
	n.ports.Commit(transaction, func(result store.CommitResult, err error) {
		defer done()
		if d.gone {
			return
		}
		if errors.Is(err, store.ErrOutcomeUnknown) {
			n.record.Count(CounterRetries, "lease_renew")
			d.rereadLease()
			return
		}
		if err != nil {
			n.record.Count(CounterRetries, "lease_renew")
			return
		}
		if !result.Committed {
			d.rereadLease()
			return
		}
		d.leaseRevision = result.Revision
		d.extend(sent)
	})
}

// rereadLease finds out whether the lease is still this node's after a renewal
// whose answer was lost or whose condition failed.
func (d *domain) rereadLease() {
	n := d.node
	sent := n.loop.Now()
	n.ports.Get(leaseKey(d.name), func(row store.Row, err error) {
		if err != nil || d.gone {
			return
		}
		observe(n.board.Leases, d.name, row, sent)
		lease, ok := n.board.Leases[d.name]
		if !ok || lease.Value.Epoch != d.epoch || lease.Value.Incarnation != n.options.Incarnation {
			d.drop("lease_lost")
			return
		}
		d.leaseRevision = lease.Revision
	})
}

func (d *domain) extend(sent time.Time) {
	wasValid := d.leaseValid()
	d.validUntil = sent.Add(d.node.options.Timing.Lease - d.node.options.Timing.Margin)
	if !wasValid && d.leaseValid() {
		d.wake()
	}
}

// leaseValid reports whether the domain may act. It is asked again before every
// action, since the process may have been paused since the last one.
func (d *domain) leaseValid() bool {
	if d.gone {
		return false
	}
	if d.node.options.Mechanisms.WithoutLeaseClock {
		return true
	}
	return d.node.loop.Now().Before(d.validUntil)
}

// drop forgets a domain that somebody else owns now.
func (d *domain) drop(reason string) {
	if d.gone {
		return
	}
	d.gone = true
	d.active = false
	delete(d.node.domains, d.name)
	d.node.record.Count(CounterOwnership, reason)
	d.node.record.LogStateChange("domain dropped", "domain", d.name, "epoch", d.epoch, "reason", reason)
	d.abandon()
	d.node.publish()
	d.node.checkDrained()
}

// handBack gives the domain up once nothing of it is under way.
func (d *domain) handBack(reason string) {
	if d.leaving || d.gone {
		return
	}
	d.leaving = true
	d.leaveReason = reason
	d.tryHandBack()
}

// tryHandBack frees the lease once no order or write is under way, so that the
// next owner finds every job in a settled state.
func (d *domain) tryHandBack() {
	if !d.leaving || d.gone || d.releasing || d.inFlight > 0 || d.writer.busy() {
		return
	}
	d.releasing = true
	row := blackboard.Lease{Domain: d.name, Epoch: d.epoch, RenewalCount: d.node.beat}
	transaction := store.Transaction{
		Conditions: []store.Condition{{Key: leaseKey(d.name), Revision: d.leaseRevision}},
		Writes:     []store.Write{write(leaseKey(d.name), row)},
	}
	d.node.ports.Commit(transaction, func(result store.CommitResult, err error) {
		d.releasing = false
		if d.gone {
			return
		}
		if err == nil && result.Committed {
			d.drop(d.leaveReason)
			return
		}
		d.rereadLease()
		d.node.loop.After(d.node.backoff(0), d.tryHandBack)
	})
}

// Drain begins a planned stop: the node says that it is leaving, hands its
// domains back and calls done when none is left. It must run on the loop.
func (n *Node) Drain(done func()) {
	n.board.Draining = true
	n.drained = done
	n.record.LogStateChange("draining")
	n.member.now()
	n.publish()
	for _, name := range sortedKeys(n.domains) {
		if n.options.Mechanisms.WithoutPlannedStop {
			n.domains[name].drop("cut_off")
			continue
		}
		n.domains[name].handBack("drain")
	}
	n.checkDrained()
}

func (n *Node) checkDrained() {
	if n.board.Draining && len(n.domains) == 0 && n.drained != nil {
		done := n.drained
		n.drained = nil
		n.loop.Post(done)
	}
}
