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

// A node knows a bounded sample of the others, whatever their number: the first in the order in which
// nodes take pools, and some that follow itself in that order. Each node writes its own row when it
// starts; nobody follows the rows of others. While every node followed every row, a restart cost as many
// answers of the store as there were nodes.
//
// Rows stand in an order by weight, the heaviest first, and by a hash among equals, so that neighbours
// are of all zones.

// memberTable has a row for each node, named by memberName.
const memberTable = "members"

const (
	// candidateCount is how many nodes are known that would take a pool first: its guards, and as
	// many for the time when these are gone.
	candidateCount = 2 * standbyCount
	// successorCount is how many nodes are known that follow this one. With them a node that lost the
	// store finds one that has it.
	successorCount = 12
	// legacyMemberCount is how many nodes are looked for, once, that run a version which does not write
	// memberTable.
	legacyMemberCount = 4
	// initialJoinBackoff is the pause after a refused write of a node's rows, give or take a half; it doubles
	// with each one up to joinPauseMost. All rows are of one part of the store, which carries out some
	// 200 writes a second, and hundreds of nodes may start at once.
	initialJoinBackoff = 500 * time.Millisecond
	maxJoinBackoff     = 16 * time.Second
	// sampleRefreshInterval is how often the sample is read again, and settlePeriod how long after a start,
	// when others start as well; both give or take a half. Earlier than refreshPause after one it is
	// not read again for any reason.
	sampleRefreshInterval = 2 * time.Minute
	startupRefreshDelay   = 3 * time.Second
	minRefreshInterval    = 2 * time.Second
)

// member is another node as its row has it.
type member struct {
	Name        string  `json:"name"`
	Incarnation string  `json:"incarnation"`
	Address     string  `json:"address"`
	Weight      float64 `json:"weight"`
}

// memberSample is what a node has read of the others.
type memberSample struct {
	// members are the known nodes by name; this one may be among them.
	members map[string]member
	// candidates are those that would take a pool first, and partial is true if there are more nodes.
	candidates map[string]bool
	partial    bool
	// version is that of the store as of which they are known.
	version int64
	// reading is true while it is read, readAt is when it last was.
	reading bool
	readAt  time.Time
}

// memberRowName is the name of a node's row, which orders rows by weight.
func memberRowName(m member) string {
	// Weights are shares of a processor with three places after the point.
	const scale, heaviest = 1000, 999_999
	order := heaviest - min(heaviest, int(math.Round(m.Weight*scale)))
	return fmt.Sprintf("%06d.%016x.%s", order, xxhash.Sum64String(m.Name), m.Name)
}

// self is this node as others see it.
func (n *Node) self() member {
	return member{Name: n.options.Name, Incarnation: n.options.Incarnation, Address: n.options.PeerAddress, Weight: n.options.Weight}
}

// memberRowKeys are the keys of this node's rows. Nodes of versions before memberTable read the other one.
func (n *Node) memberRowKeys() []rows.Key {
	return []rows.Key{{Table: memberTable, Name: memberRowName(n.self())}, {Table: pool.NodeTable, Name: n.options.Name}}
}

// join writes this node's rows until they are there.
func (n *Node) join() {
	if !n.joining {
		n.joining = true
		n.joinWithBackoff(initialJoinBackoff)
	}
}

// joinWithBackoff is join with the pause after a failure.
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
		n.edges.Record.Decided("joined", "node", self.Name, "address", self.Address)
	})
}

// jitter returns a period give or take a half of it, so that nodes that began together do not go on
// together.
func jitter(period time.Duration) time.Duration {
	return time.Duration((0.5 + rand.Float64()) * float64(period))
}

// refreshMembersPeriodically reads the sample again and again.
func (n *Node) refreshMembersPeriodically() {
	n.edges.Loop.After(jitter(sampleRefreshInterval), func() {
		n.refreshMembers()
		n.refreshMembersPeriodically()
	})
}

// refreshMembers reads the sample unless that was done just now.
func (n *Node) refreshMembers() {
	if !n.sample.reading && n.now().Sub(n.sample.readAt) >= minRefreshInterval {
		n.readMembers()
	}
}

// samplePage is one of the reads that make up a sample.
type samplePage struct {
	table, from string
	limit       int
}

// readMembers reads the sample.
func (n *Node) readMembers() {
	n.sample.reading = true
	pages := []samplePage{
		{memberTable, "", candidateCount},
		{memberTable, memberRowName(n.self()), successorCount + 1},
	}
	if n.sample.readAt.IsZero() {
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

// applySample takes in a sample.
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
		// All others run an older version; those that the first sample found are kept.
		maps.Copy(next.members, n.sample.members)
	}
	known, listed := next.members[n.options.Name]
	missing := !listed || known.Incarnation != n.options.Incarnation
	n.sample = next
	n.publishSnapshot()
	n.followLeases()
	if missing {
		// An owner that did not hear of this node for a while took it for gone.
		n.join()
	}
}

// add takes in a row of a node. It returns false if the row can't be read.
func (s *memberSample) add(row *rows.Row) (member, bool) {
	var m member
	if err := json.Unmarshal(row.Value, &m); err != nil || m.Name == "" {
		return m, false
	}
	s.members[m.Name] = m
	return m, true
}

// apply takes in a change of a node's row.
func (s *memberSample) apply(row *rows.Row) {
	if row.Gone {
		delete(s.members, row.Name)
		return
	}
	s.add(row)
}

// isCandidate reports whether a node is known to be among the first that would take a pool.
func (s *memberSample) isCandidate(name string) bool { return !s.partial || s.candidates[name] }

// otherMembersExcept lists the known members besides this node and one more, in random order.
func (n *Node) otherMembersExcept(excluded string) []member {
	var others []member
	for _, name := range sortedKeys(n.sample.members) {
		if name != n.options.Name && name != excluded {
			others = append(others, n.sample.members[name])
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others
}

// candidatesExcept lists the known members, besides this node and one more, that would take a pool first.
func (n *Node) candidatesExcept(excluded string) []member {
	var found []member
	for _, other := range n.otherMembersExcept(excluded) {
		if n.sample.isCandidate(other.Name) {
			found = append(found, other)
		}
	}
	return found
}
