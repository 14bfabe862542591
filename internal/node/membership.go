package node

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/rows"
)

// A node knows a bounded sample of the others: the candidates at the head of the takeover order and
// some of its own successors in that order. Each node writes its own row when it starts. Nodes of a
// large cluster do not follow each other's rows, as each restart would cost one response of the
// store for every node.
//
// Rows are ordered by descending weight and by a hash among equal weights, so that neighbors in the
// order are spread over all zones.

// memberTable has one row for each node, named by memberRowName.
const memberTable = "members"

const (
	// candidateCount is how many nodes at the head of the takeover order are known: the standbys,
	// and as many to replace them.
	candidateCount = 2 * standbyCount
	// successorCount is how many successors of this node are known. A node that loses the store
	// finds one among them that still reaches it.
	successorCount = 12
	// legacyMemberCount is how many nodes are read, once, whose version does not write memberTable.
	legacyMemberCount = 4
	// initialJoinBackoff is the first backoff after a failed write of a node's rows. It doubles up
	// to maxJoinBackoff, with jitter: all member rows are in one partition of the store, which
	// commits some 200 writes a second, and hundreds of nodes may start at once.
	initialJoinBackoff = 500 * time.Millisecond
	maxJoinBackoff     = 16 * time.Second
	// sampleRefreshInterval is the interval between reads of the sample, startupRefreshDelay the
	// delay of the first further read after a start; both have jitter. Reads are at least
	// minRefreshInterval apart.
	sampleRefreshInterval = 2 * time.Minute
	startupRefreshDelay   = 3 * time.Second
	minRefreshInterval    = 2 * time.Second
)

// member is another node as described by its row.
type member struct {
	Name        string  `json:"name"`
	Incarnation string  `json:"incarnation"`
	Address     string  `json:"address"`
	Weight      float64 `json:"weight"`
}

// memberSample is what a node has read of the others.
type memberSample struct {
	// members are the known nodes by name, which may include this one.
	members map[string]member
	// candidates are the names of the nodes at the head of the takeover order. partial is true if
	// there are more nodes than these.
	candidates map[string]bool
	partial    bool
	// version is the version of the store that the sample reflects.
	version int64
	// reading is true while the sample is being read, readAt is when it was last read.
	reading bool
	readAt  time.Time
}

// memberRowName returns the name of a node's row, which sorts rows by descending weight.
func memberRowName(m member) string {
	// Weights are fractions of a processor with three decimal places.
	const scale, maxScaledWeight = 1000, 999_999
	weightRank := maxScaledWeight - min(maxScaledWeight, int(math.Round(m.Weight*scale)))
	return fmt.Sprintf("%06d.%016x.%s", weightRank, xxhash.Sum64String(m.Name), m.Name)
}

// self returns this node's member record.
func (n *Node) self() member {
	return member{Name: n.options.Name, Incarnation: n.options.Incarnation, Address: n.options.PeerAddress, Weight: n.options.Weight}
}

// memberRowKeys returns the keys of this node's rows. Nodes of versions without memberTable read
// the row in pool.NodeTable.
func (n *Node) memberRowKeys() []rows.Key {
	return []rows.Key{{Table: memberTable, Name: memberRowName(n.self())}, {Table: pool.NodeTable, Name: n.options.Name}}
}

// join writes this node's rows and retries until they are stored.
func (n *Node) join() {
	if !n.joining {
		n.joining = true
		n.joinWithBackoff(initialJoinBackoff)
	}
}

// joinWithBackoff is join with the backoff after the next failure.
func (n *Node) joinWithBackoff(backoff time.Duration) {
	if n.stopping.Load() {
		return
	}
	self := n.self()
	var transaction rows.Transaction
	for _, key := range n.memberRowKeys() {
		transaction.Puts = append(transaction.Puts, rows.Put{Key: key, Value: pool.Encode(self)})
	}
	n.ports.Commit(transaction, func(_ rows.Result, err error) {
		if err != nil {
			n.storeRetries.After(jitter(backoff), func() { n.joinWithBackoff(min(2*backoff, maxJoinBackoff)) })
			return
		}
		n.joining = false
		n.dependencies.Recorder.LogEvent("joined", "node", self.Name, "address", self.Address)
	})
}

// jitter returns a random period between half and one and a half times the given one, so that nodes
// that started together do not stay synchronized.
func jitter(period time.Duration) time.Duration {
	return time.Duration((0.5 + rand.Float64()) * float64(period))
}

// refreshMembersPeriodically refreshes the sample each sampleRefreshInterval.
func (n *Node) refreshMembersPeriodically() {
	n.dependencies.Loop.After(jitter(sampleRefreshInterval), func() {
		n.refreshMembers()
		n.refreshMembersPeriodically()
	})
}

// refreshMembers reads the sample unless it is being read or was read less than minRefreshInterval
// ago.
func (n *Node) refreshMembers() {
	if !n.memberSample.reading && n.now().Sub(n.memberSample.readAt) >= minRefreshInterval {
		n.readMembers()
	}
}

// samplePage is one of the reads that make up a sample.
type samplePage struct {
	table, from string
	limit       int
}

// readMembers reads the sample and retries until the store answers.
func (n *Node) readMembers() {
	n.memberSample.reading = true
	pages := []samplePage{
		{memberTable, "", candidateCount},
		{memberTable, memberRowName(n.self()), successorCount + 1},
	}
	if n.memberSample.readAt.IsZero() {
		pages = append(pages, samplePage{pool.NodeTable, n.options.Name, legacyMemberCount + 1})
	}
	listings := make([]rows.Listing, len(pages))
	pending, failed := len(pages), false
	for i, page := range pages {
		n.ports.page(page.table, "", page.from, page.limit, func(listing rows.Listing, err error) {
			listings[i] = listing
			failed = failed || err != nil
			if pending--; pending > 0 {
				return
			}
			if failed {
				n.storeRetries.After(retryPause, n.readMembers)
				return
			}
			n.applySample(listings[0], listings[1:]...)
		})
	}
}

// applySample replaces the sample with the given listings.
func (n *Node) applySample(candidates rows.Listing, others ...rows.Listing) {
	next := memberSample{members: map[string]member{}, candidates: map[string]bool{}, readAt: n.now(), version: candidates.Version}
	next.partial = len(candidates.Rows) >= candidateCount
	for i := range candidates.Rows {
		if m, ok := next.add(&candidates.Rows[i]); ok {
			next.candidates[m.Name] = true
		}
	}
	for _, listing := range others {
		next.version = min(next.version, listing.Version)
		for i := range listing.Rows {
			next.add(&listing.Rows[i])
		}
	}
	if len(next.members) <= 1 {
		// All other nodes run an older version; keep those that the first sample found.
		maps.Copy(next.members, n.memberSample.members)
	}
	ownRow, listed := next.members[n.options.Name]
	missing := !listed || ownRow.Incarnation != n.options.Incarnation
	n.memberSample = next
	n.publishSnapshot()
	n.followLeases()
	if missing {
		// An owner that received no pings from this node removed its row.
		n.join()
	}
}

// add adds the node of a row. It returns false if the row cannot be decoded.
func (s *memberSample) add(row *rows.Row) (member, bool) {
	var m member
	if err := json.Unmarshal(row.Value, &m); err != nil || m.Name == "" {
		return m, false
	}
	s.members[m.Name] = m
	return m, true
}

// apply applies a change of a node's row.
func (s *memberSample) apply(row *rows.Row) {
	if row.Gone {
		delete(s.members, row.Name)
		return
	}
	s.add(row)
}

// isCandidate reports whether a node is known to be at the head of the takeover order.
func (s *memberSample) isCandidate(name string) bool { return !s.partial || s.candidates[name] }

// otherMembersExcept lists the known members except this node and the excluded one, in random
// order.
func (n *Node) otherMembersExcept(excluded string) []member {
	var others []member
	for _, name := range sortedKeys(n.memberSample.members) {
		if name != n.options.Name && name != excluded {
			others = append(others, n.memberSample.members[name])
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others
}

// candidatesExcept lists the known candidates except this node and the excluded one, in random
// order.
func (n *Node) candidatesExcept(excluded string) []member {
	var found []member
	for _, other := range n.otherMembersExcept(excluded) {
		if n.memberSample.isCandidate(other.Name) {
			found = append(found, other)
		}
	}
	return found
}
