package node

import (
	"encoding/json"

	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/rows"
)

// Who owns a pool is in its lease row. The nodes that would take a pool first, and owners, follow the
// table of leases; all others read a lease when the owner that they know does not answer as such.

// shouldFollowLeases reports whether this node follows the leases.
func (n *Node) shouldFollowLeases() bool {
	if len(n.owned) > 0 {
		return true
	}
	if n.sample.readAt.IsZero() {
		// It is not known yet who would take a pool first.
		return false
	}
	for name := range n.watchers {
		if n.isStandby(name) {
			return true
		}
	}
	return false
}

// followLeases reads and follows the leases for as long as this node needs it.
func (n *Node) followLeases() {
	if n.followingLeases || !n.shouldFollowLeases() {
		return
	}
	n.followingLeases = true
	names := sortedKeys(n.watchers)
	pending, version := len(names), n.recentSampleVersion()
	for _, name := range names {
		n.readLease(name, func(asOf int64) {
			if version == 0 || asOf < version {
				version = asOf
			}
			if pending--; pending == 0 {
				n.followLeasesFrom(version)
			}
		})
	}
}

func (n *Node) followLeasesFrom(version int64) {
	n.follow(subscription{
		table: pool.NodeTable, feed: n.ports.feedFor, wait: n.leaseFeedWait, apply: n.applyNodeRow,
		needed: n.shouldFollowLeases,
		onEnd: func() {
			// The history may be gone from where the sample was read.
			n.followingLeases, n.sample.version = false, 0
			n.followLeases()
		},
	}, version)
}

// recentSampleVersion is the version from which the rows of nodes are to be followed so that none is
// missed; 0 if the sample was not read just now.
func (n *Node) recentSampleVersion() int64 {
	if n.now().Sub(n.sample.readAt) > minRefreshInterval {
		return 0
	}
	return n.sample.version
}

// readLease reads a pool's lease for the first time, or anew, then calls done with the version as of
// which it is known.
func (n *Node) readLease(name string, done func(version int64)) {
	n.scanLease(name, func(version int64) {
		n.watchers[name].leaseRead = true
		n.handleLeaseChange(name)
		done(version)
	})
}

// scanLease reads a pool's lease until the store answers. What is suspected of an owner stands if the
// lease is as it was.
func (n *Node) scanLease(name string, done func(version int64)) {
	n.ports.Scan(pool.NodeTable, name, "", func(listing rows.Listing, err error) {
		if err != nil {
			n.storeRetries.After(retryPause, func() { n.scanLease(name, done) })
			return
		}
		for i := range listing.Rows {
			n.applyNodeRow(listing.Rows[i])
		}
		done(listing.Version)
	})
}

// refreshLease reads a pool's lease again if this node does not follow it. It asks once.
func (n *Node) refreshLease(w *poolWatcher) {
	if n.followingLeases || w.refreshingLease {
		return
	}
	w.refreshingLease = true
	n.ports.Scan(pool.NodeTable, w.pool, "", func(listing rows.Listing, _ error) {
		// Without an answer the next ping leads here again.
		w.refreshingLease = false
		for i := range listing.Rows {
			n.applyNodeRow(listing.Rows[i])
		}
	})
}

// applyNodeRow takes in a row of the table of leases, which also has a row for each node. Where there are
// few nodes all of them follow it, and learn of each other at once.
func (n *Node) applyNodeRow(row rows.Row) {
	switch {
	case row.Part == "" && !n.sample.partial:
		n.sample.apply(&row)
	case row.Part != "" && row.Name == pool.LeaseRow:
		n.applyLease(row)
	default:
		return
	}
	n.publishSnapshot()
}

func (n *Node) applyLease(row rows.Row) {
	if n.leases[row.Part].version >= row.Version {
		return
	}
	lease := versionedLease{version: row.Version}
	if !row.Gone {
		if err := json.Unmarshal(row.Value, &lease.Lease); err != nil {
			return
		}
	}
	n.leases[row.Part] = lease
	if p := n.owned[row.Part]; p != nil && p.Token() < row.Version {
		p.Abandon("lease taken by " + lease.Owner)
	}
	n.handleLeaseChange(row.Part)
}
