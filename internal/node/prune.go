package node

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/rows"
)

// Nodes that crash leave their rows behind. Owners remove these rows, since every live node pings
// the owner of each pool. Otherwise samples would fill with dead nodes, and owners would have no
// standbys.

const (
	// memberExpiry is how long a node may send no ping before its row is removed, many times the
	// interval between pings. A live node whose row was removed writes it again.
	memberExpiry = 15 * time.Second
	// maxPingGap is the longest interval between consecutive pings of an owner if there is more
	// than one other node. After a longer gap the owner was partitioned or stalled and cannot tell
	// other nodes.
	maxPingGap = 2 * time.Second
	// prunePageSize is how many rows are checked at a time, prunePageInterval the interval between
	// pages, and pruneInterval the interval between passes over all rows.
	prunePageSize     = 40
	prunePageInterval = time.Second
	pruneInterval     = time.Minute
)

// pingHistory is when other nodes last pinged an owner.
type pingHistory struct {
	lastPings map[string]time.Time
	latest    time.Time
	// since is the start of the current period without a gap.
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

// expired reports whether a node has certainly sent no ping for memberExpiry.
func (h *pingHistory) expired(name string, now time.Time) bool {
	if h.lastPings == nil || now.Sub(h.latest) > maxPingGap || now.Sub(h.since) < memberExpiry {
		return false
	}
	return now.Sub(h.lastPings[name]) > memberExpiry
}

// pruneMembers removes the rows of expired members, page by page, while this node owns a pool.
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

// removeExpired removes the rows of expired members unless they were written again since they were
// read.
func (n *Node) removeExpired(listed []rows.Row) {
	var transaction rows.Transaction
	pageSample := memberSample{members: map[string]member{}}
	for i := range listed {
		m, ok := pageSample.add(&listed[i])
		if !ok || m.Name == n.options.Name || !n.pingHistory.expired(m.Name, n.now()) {
			continue
		}
		transaction.Conditions = append(transaction.Conditions, rows.Condition{Key: listed[i].Key, Version: listed[i].Version})
		transaction.Removes = append(transaction.Removes, listed[i].Key)
	}
	if len(transaction.Removes) == 0 {
		return
	}
	n.dependencies.Recorder.LogEvent("rows of gone nodes removed", "count", len(transaction.Removes), "first", transaction.Removes[0].Name)
	// The next pass retries after an error.
	n.ports.Commit(transaction, func(rows.Result, error) {})
}
