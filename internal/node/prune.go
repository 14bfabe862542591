package node

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/rows"
)

// A node that crashes leaves its member row behind. Pool owners remove such rows: every live node
// pings the owner of each pool, so an owner notices which nodes are dead. Otherwise member samples
// would fill with dead nodes, and owners would have no standbys.

const (
	// memberExpiry is the time without a ping after which an owner removes a node's row. It is many
	// times the interval between pings. A live node whose row was removed writes the row again.
	memberExpiry = 15 * time.Second
	// maxPingGap is the longest expected interval between two pings that an owner receives from any
	// nodes. After a longer gap the owner was partitioned or stalled, and cannot tell which nodes
	// are dead.
	maxPingGap = 2 * time.Second
	// prunePageSize is how many rows are checked at a time. prunePageInterval is the interval
	// between such pages. pruneInterval is the interval between passes over all rows.
	prunePageSize     = 40
	prunePageInterval = time.Second
	pruneInterval     = time.Minute
)

// pingHistory records when other nodes last pinged this node as an owner.
type pingHistory struct {
	lastPings map[string]time.Time
	latest    time.Time
	// since is the time of the first ping after the last gap longer than maxPingGap.
	since time.Time
}

// record adds a ping of a node.
func (h *pingHistory) record(name string, now time.Time) {
	if name == "" {
		return
	}
	if h.lastPings == nil || now.Sub(h.latest) > maxPingGap {
		h.lastPings, h.since = map[string]time.Time{}, now
	}
	h.lastPings[name], h.latest = now, now
}

// expired reports whether a node has sent no ping for memberExpiry. It returns false if pings of
// the node may have been lost because this owner was partitioned or stalled.
func (h *pingHistory) expired(name string, now time.Time) bool {
	if h.lastPings == nil || now.Sub(h.latest) > maxPingGap || now.Sub(h.since) < memberExpiry {
		return false
	}
	return now.Sub(h.lastPings[name]) > memberExpiry
}

// pruneMembers removes the rows of expired members from one page of memberTable and schedules the
// next page. It stops once this node owns no pool.
func (n *Node) pruneMembers(from string) {
	if len(n.owned) == 0 {
		n.pruning = false
		return
	}
	n.ports.page(memberTable, "", from, prunePageSize, func(listing rows.Listing, err error) {
		pause, next := pruneInterval, ""
		if err == nil {
			n.removeExpired(listing.Rows)
		}
		if len(listing.Rows) == prunePageSize {
			pause, next = prunePageInterval, listing.Rows[prunePageSize-1].Name+"\x00"
		}
		n.dependencies.Loop.After(pause, func() { n.pruneMembers(next) })
	})
}

// removeExpired removes the listed rows of expired members, and those of no member, in one transaction.
// The transaction has no effect if any of these rows was written after the listing.
func (n *Node) removeExpired(listed []rows.Row) {
	var transaction rows.Transaction
	pageSample := memberSample{members: map[string]member{}}
	for i := range listed {
		m, ok := pageSample.add(&listed[i])
		if !ok {
			// A row that can't be decoded would keep its place in every sample.
			m.Name = nodeOfMemberRow(listed[i].Name)
		}
		if m.Name == n.options.Name || !n.pingHistory.expired(m.Name, n.now()) {
			continue
		}
		transaction.Conditions = append(transaction.Conditions, rows.Condition{Key: listed[i].Key, Version: listed[i].Version})
		transaction.Removes = append(transaction.Removes, listed[i].Key)
	}
	if len(transaction.Removes) == 0 {
		return
	}
	n.dependencies.Recorder.LogEvent("removing expired member rows", "count", len(transaction.Removes), "first", transaction.Removes[0].Name)
	// The next pass retries after an error.
	n.ports.Commit(transaction, func(rows.Result, error) {})
}
