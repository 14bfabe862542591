package node

import (
	"encoding/json"

	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/rows"
)

// A pool's lease row names the pool's owner. Owners and standbys follow the changes of the lease
// table; standbys are the first nodes in a pool's takeover order. All other nodes read a lease only
// when the owner that they know fails a ping or replies that it does not own the pool.

// shouldFollowLeases reports whether this node is an owner or a standby of any pool.
func (n *Node) shouldFollowLeases() bool {
	if len(n.owned) > 0 {
		return true
	}
	if n.memberSample.readAt.IsZero() {
		// The takeover order is not known before the first sample.
		return false
	}
	for name := range n.watchers {
		if n.isStandby(name) {
			return true
		}
	}
	return false
}

// followLeases reads all leases and follows their changes while shouldFollowLeases holds.
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
		table: pool.NodeTable, feed: n.ports.feedFor, wait: n.leaseFeedWait, apply: n.applyLeaseTableRow,
		needed: n.shouldFollowLeases,
		onEnd: func() {
			// The store's change history may no longer include the version of the member sample.
			n.followingLeases, n.memberSample.version = false, 0
			n.followLeases()
		},
	}, version)
}

// recentSampleVersion returns the version of the member sample, or 0 if the sample is too old. The
// lease table also holds member rows, so a node that follows the table from the sample's version
// misses no change of a member.
func (n *Node) recentSampleVersion() int64 {
	if n.now().Sub(n.memberSample.readAt) > minRefreshInterval {
		return 0
	}
	return n.memberSample.version
}

// readLease scans a pool's lease and calls done with the version of the listing.
func (n *Node) readLease(name string, done func(version int64)) {
	n.scanLease(name, func(version int64) {
		n.watchers[name].leaseRead = true
		n.handleLeaseChange(name)
		done(version)
	})
}

// scanLease scans a pool's lease and retries until the store responds. If the lease is unchanged,
// the owner's count of failed pings stays as it is.
func (n *Node) scanLease(name string, done func(version int64)) {
	n.ports.Scan(pool.NodeTable, name, "", func(listing rows.Listing, err error) {
		if err != nil {
			n.storeRetries.After(retryPause, func() { n.scanLease(name, done) })
			return
		}
		for i := range listing.Rows {
			n.applyLeaseTableRow(listing.Rows[i])
		}
		done(listing.Version)
	})
}

// refreshLease scans a pool's lease once, unless this node follows the lease table.
func (n *Node) refreshLease(w *poolWatcher) {
	if n.followingLeases || w.refreshingLease {
		return
	}
	w.refreshingLease = true
	n.ports.Scan(pool.NodeTable, w.pool, "", func(listing rows.Listing, _ error) {
		// After an error the next ping starts another scan.
		w.refreshingLease = false
		for i := range listing.Rows {
			n.applyLeaseTableRow(listing.Rows[i])
		}
	})
}

// applyLeaseTableRow applies a row of the lease table. The table also holds one row for each node.
// In small clusters, where the member sample is complete, nodes apply these rows too and so learn
// of each other at once.
func (n *Node) applyLeaseTableRow(row rows.Row) {
	switch {
	case row.Part == "" && !n.memberSample.partial:
		n.memberSample.apply(&row)
		if row.Gone {
			n.statements.forgetMember(row.Name)
		}
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
	lease := versionedLease{Lease: n.decodeLease(&row), version: row.Version}
	n.leases[row.Part] = lease
	if !row.Gone {
		// The configuration may have listed the pool while this node held another version.
		n.watchPool(row.Part)
	}
	if p := n.owned[row.Part]; p != nil && p.Token() < row.Version {
		p.Abandon("lease now held by " + lease.Owner)
	}
	n.handleLeaseChange(row.Part)
}

// decodeLease decodes a lease row. A row that is gone, or that can't be decoded, names no owner: the
// owner before it has lost the pool, since its lease is no longer the stored one. The format of the
// pool's rows counts wherever it can be read.
func (n *Node) decodeLease(row *rows.Row) pool.Lease {
	if row.Gone {
		return pool.Lease{}
	}
	var lease pool.Lease
	if err := json.Unmarshal(row.Value, &lease); err != nil {
		n.dependencies.Recorder.Count("refusals", "lease_row_invalid")
		n.dependencies.Recorder.LogEvent("lease rejected", "pool", row.Part, "version", row.Version, "reason", err.Error())
		return pool.Lease{Format: lease.Format}
	}
	return lease
}
