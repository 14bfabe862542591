package node

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/rows"
)

// Rows of nodes that died stay. Owners remove them, since each node that lives asks the owner of each pool
// how it is: else samples would come to hold nodes that are long gone, and nobody would guard an owner.

const (
	// silenceLimit is how long a node may go without a ping before its row is removed: many times as
	// long as any pause between two. A node that lives nevertheless writes its row again.
	silenceLimit = 15 * time.Second
	// hearingGap is the longest pause between any two pings of a pool with more than one other node.
	// After a longer one the owner was cut off or stood still, and knows nothing of the others.
	hearingGap = 2 * time.Second
	// prunePage is how many rows are looked at once, prunePause the pause between two pages, and
	// pruneRest that after the last one.
	prunePage  = 40
	prunePause = time.Second
	pruneRest  = time.Minute
)

// hearing is what an owner knows of the nodes that ask it.
type hearing struct {
	heardAt map[string]time.Time
	lastAt  time.Time
	// since is when it began, without a gap up to lastAt.
	since time.Time
}

// note takes in a node that asked.
func (h *hearing) note(name string, now time.Time) {
	if name == "" {
		return
	}
	if h.heardAt == nil || now.Sub(h.lastAt) > hearingGap {
		h.heardAt, h.since = map[string]time.Time{}, now
	}
	h.heardAt[name], h.lastAt = now, now
}

// gone reports whether a node has surely not asked for silenceLimit.
func (h *hearing) gone(name string, now time.Time) bool {
	if h.heardAt == nil || now.Sub(h.lastAt) > hearingGap || now.Sub(h.since) < silenceLimit {
		return false
	}
	return now.Sub(h.heardAt[name]) > silenceLimit
}

// pruneMembers removes rows of nodes that are gone, page by page, for as long as this node owns a pool.
func (n *Node) pruneMembers(from string) {
	if len(n.owned) == 0 {
		n.pruning = false
		return
	}
	n.ports.page(memberTable, "", from, prunePage, func(listing rows.Listing, err error) {
		pause, next := pruneRest, ""
		if err == nil {
			n.removeGone(listing.Rows)
		}
		if len(listing.Rows) == prunePage {
			pause, next = prunePause, listing.Rows[prunePage-1].Name+"\x00"
		}
		n.edges.Loop.After(pause, func() { n.pruneMembers(next) })
	})
}

// removeGone removes those rows whose nodes are gone, unless they are written anew meanwhile.
func (n *Node) removeGone(listed []rows.Row) {
	var transaction rows.Transaction
	read := memberSample{members: map[string]member{}}
	for i := range listed {
		m, ok := read.add(&listed[i])
		if !ok || m.Name == n.options.Name || !n.hearing.gone(m.Name, n.now()) {
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
