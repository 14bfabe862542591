package node

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/rows"
)

// Rows of nodes that died stay. Owners remove them, since each node that lives asks the owner of each pool
// how it is: else samples would come to hold nodes that are long gone, and nobody would guard an owner.

const (
	// memberExpiry is how long a node may go without a ping before its row is removed: many times as
	// long as any pause between two. A node that lives nevertheless writes its row again.
	memberExpiry = 15 * time.Second
	// maxPingGap is the longest pause between any two pings of a pool with more than one other node.
	// After a longer one the owner was cut off or stood still, and knows nothing of the others.
	maxPingGap = 2 * time.Second
	// prunePageSize is how many rows are looked at once, prunePause the pause between two pages, and
	// pruneRest that after the last one.
	prunePageSize     = 40
	prunePageInterval = time.Second
	pruneInterval     = time.Minute
)

// pingHistory is what an owner knows of the nodes that ask it.
type pingHistory struct {
	lastPings map[string]time.Time
	latest    time.Time
	// since is when it began, without a gap up to lastAt.
	since time.Time
}

// record takes in a node that asked.
func (h *pingHistory) record(name string, now time.Time) {
	if name == "" {
		return
	}
	if h.lastPings == nil || now.Sub(h.latest) > maxPingGap {
		h.lastPings, h.since = map[string]time.Time{}, now
	}
	h.lastPings[name], h.latest = now, now
}

// expired reports whether a node has surely not asked for silenceLimit.
func (h *pingHistory) expired(name string, now time.Time) bool {
	if h.lastPings == nil || now.Sub(h.latest) > maxPingGap || now.Sub(h.since) < memberExpiry {
		return false
	}
	return now.Sub(h.lastPings[name]) > memberExpiry
}

// pruneMembers removes rows of nodes that are gone, page by page, for as long as this node owns a pool.
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
		n.edges.Loop.After(pause, func() { n.pruneMembers(next) })
	})
}

// removeExpired removes those rows whose nodes are gone, unless they are written anew meanwhile.
func (n *Node) removeExpired(listed []rows.Row) {
	var transaction rows.Transaction
	read := memberSample{members: map[string]member{}}
	for i := range listed {
		m, ok := read.add(&listed[i])
		if !ok || m.Name == n.options.Name || !n.pingHistory.expired(m.Name, n.now()) {
			continue
		}
		transaction.Conditions = append(transaction.Conditions, rows.Condition{Key: listed[i].Key, Version: listed[i].Version})
		transaction.Removes = append(transaction.Removes, listed[i].Key)
	}
	if len(transaction.Removes) == 0 {
		return
	}
	n.edges.Record.Decided("rows of gone nodes removed", "count", len(transaction.Removes), "first", transaction.Removes[0].Name)
	// What fails is tried again with the next round.
	n.ports.Commit(transaction, func(rows.Result, error) {})
}
