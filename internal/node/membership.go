package node

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wheatroad/wheatroad/internal/compatibility"
	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/rows"
)

// The takeover order is the order in which nodes take over a pool that lost its owner. A node knows
// a bounded sample of the other nodes: the candidates, which are first in the takeover order, and
// some of the node's own successors in that order. Each node writes its own member row when it
// starts. In large clusters nodes do not follow changes of member rows. Otherwise the store would
// send every node a response for each node that restarts.
//
// Member rows are sorted by descending weight, and by a hash of the name among equal weights. The
// hash spreads neighbors in the order over all zones.

// memberTable has one row for each node. memberRowName returns the row's name.
const memberTable = "members"

const (
	// candidateCount is how many of the first nodes in the takeover order every node knows: the
	// standbys, and as many nodes to replace them.
	candidateCount = 2 * standbyCount
	// successorCount is how many of its successors a node knows. A node that loses the store can
	// relay its calls through a successor that still reaches the store.
	successorCount = 12
	// legacyMemberCount is how many nodes of versions without memberTable are known. A node reads
	// them once, with its first sample.
	legacyMemberCount = 4
	// initialJoinBackoff is the backoff after the first failed write of a node's rows. The backoff
	// doubles with each failure, up to maxJoinBackoff, and has jitter. All member rows are in one
	// partition of the store, which carries out some 200 writes per second, and hundreds of nodes
	// may start at once.
	initialJoinBackoff = 500 * time.Millisecond
	maxJoinBackoff     = 16 * time.Second
	// sampleRefreshInterval is the interval between reads of the member sample. startupRefreshDelay
	// is the delay between a node's first and second read. Both have jitter. Reads are at least
	// minRefreshInterval apart.
	sampleRefreshInterval = 2 * time.Minute
	startupRefreshDelay   = 3 * time.Second
	minRefreshInterval    = 2 * time.Second
)

// member is a node as described by its member row.
type member struct {
	Name        string  `json:"name"`
	Incarnation string  `json:"incarnation"`
	Address     string  `json:"address"`
	Weight      float64 `json:"weight"`
	// Region is absent in rows of older versions.
	Region string `json:"region,omitempty"`
	// Format is the newest format of rows that the node reads, and Version the version of its build;
	// both are absent in rows of older versions.
	Format  compatibility.Format `json:"format,omitempty"`
	Version string               `json:"version,omitempty"`
}

// memberSample is what a node has read of the member rows.
type memberSample struct {
	// members are the known nodes by name. They may include this node.
	members map[string]member
	// candidates are the names of the first candidateCount nodes in the takeover order. partial is
	// true if the cluster may have more nodes.
	candidates map[string]bool
	partial    bool
	// version is the version of the store that the sample reflects.
	version int64
	// changes are the changes of member rows that were applied since the sample was last read.
	changes []rows.Row
	// reading is true while a read of the sample is in flight. readAt is when the sample was last
	// read.
	reading bool
	readAt  time.Time
}

// memberRowName returns the name of a node's row. Sorting the rows by name sorts them by descending
// weight.
func memberRowName(m member) string {
	// Weights are fractions of a processor with three decimal places.
	const scale, maxScaledWeight = 1000, 999_999
	weightRank := maxScaledWeight - min(maxScaledWeight, int(math.Round(m.Weight*scale)))
	return fmt.Sprintf("%06d.%016x.%s", weightRank, xxhash.Sum64String(m.Name), m.Name)
}

// memberRowNameParts is the number of parts of a member row's name, separated by dots. The last part, the
// node's name, may contain dots.
const memberRowNameParts = 3

// nodeOfMemberRow returns the name of the node whose member row has the given name, or "" if no node's
// row has such a name.
func nodeOfMemberRow(rowName string) string {
	parts := strings.SplitN(rowName, ".", memberRowNameParts)
	if len(parts) < memberRowNameParts {
		return ""
	}
	return parts[memberRowNameParts-1]
}

// self returns this node's member record.
func (n *Node) self() member {
	return member{Name: n.options.Name, Incarnation: n.options.Incarnation, Address: n.options.PeerAddress, Weight: n.options.Weight, Region: n.options.Region, Format: compatibility.Newest, Version: n.options.Version}
}

// memberRowKeys returns the keys of this node's two member rows. Nodes of versions without
// memberTable read the row in pool.NodeTable.
func (n *Node) memberRowKeys() []rows.Key {
	return []rows.Key{{Table: memberTable, Name: memberRowName(n.self())}, {Table: pool.NodeTable, Name: n.options.Name}}
}

// join writes this node's member rows and retries until the write succeeds.
func (n *Node) join() {
	if !n.joining {
		n.joining = true
		n.joinWithBackoff(initialJoinBackoff)
	}
}

// joinWithBackoff writes this node's member rows. If the write fails, the node waits for backoff,
// with jitter, and tries again with twice the backoff.
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

// jitter returns a random duration from half to one and a half times the given period. Nodes that
// start together do not stay synchronized this way.
func jitter(period time.Duration) time.Duration {
	return time.Duration((0.5 + rand.Float64()) * float64(period))
}

// refreshPeriodically refreshes the sample, and the pools that have jobs, each
// sampleRefreshInterval.
func (n *Node) refreshPeriodically() {
	n.dependencies.Loop.After(jitter(sampleRefreshInterval), func() {
		n.refreshMembers()
		n.discoverPools()
		n.refreshPeriodically()
	})
}

// refreshMembers reads the sample unless a read is in flight or the last read is less than
// minRefreshInterval ago.
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

// readMembers reads the sample and retries until the store responds.
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
		// All other nodes run a version without memberTable. Keep the nodes of the previous sample.
		maps.Copy(next.members, n.memberSample.members)
	}
	if !next.partial {
		next.applyLater(n.memberSample.changes)
	}
	n.statements.replaceSample(n.memberSample.members, next.members, n.now())
	ownRow, listed := next.members[n.options.Name]
	missing := !listed || ownRow.Incarnation != n.options.Incarnation
	n.memberSample = next
	n.publishSnapshot()
	n.followLeases()
	n.updateConfigurationFeed()
	if missing {
		// This node's row is missing or describes an earlier process. A pool owner removes a node's
		// row if it receives no pings from the node for memberExpiry.
		n.join()
	}
}

// add adds the node that a member row describes. It returns false if the row cannot be decoded.
func (s *memberSample) add(row *rows.Row) (member, bool) {
	var m member
	if err := json.Unmarshal(row.Value, &m); err != nil || m.Name == "" {
		return m, false
	}
	s.members[m.Name] = m
	return m, true
}

// applyLater applies the changes that are later than the sample.
func (s *memberSample) applyLater(changes []rows.Row) {
	for i := range changes {
		if changes[i].Version > s.version {
			s.apply(&changes[i])
		}
	}
}

// apply applies a change of a member row.
func (s *memberSample) apply(row *rows.Row) {
	s.changes = append(s.changes, *row)
	if row.Gone {
		delete(s.members, row.Name)
		return
	}
	s.add(row)
}

// versions counts the known members by the version of their build.
func (s *memberSample) versions() map[string]int {
	counts := map[string]int{}
	for _, m := range s.members {
		counts[m.Version]++
	}
	return counts
}

// isCandidate reports whether a node is among the candidates. In a cluster that the sample covers
// completely, all nodes are.
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
