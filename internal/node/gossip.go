package node

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wheatroad/wheatroad/internal/fault"
	"github.com/wheatroad/wheatroad/internal/mechanism"
)

// pingRequest asks a pool's owner how it is.
type pingRequest struct {
	Pool string `json:"pool"`
}

// pingReply is an owner's account of itself.
type pingReply struct {
	Owner bool `json:"owner"`
	// StoreAgeMillis is how long ago the store last answered the node, directly or
	// through another one.
	StoreAgeMillis int64 `json:"store_age_ms"`
	// StoreLost is true once the node's feeds have failed since that answer.
	StoreLost bool           `json:"store_lost,omitempty"`
	Waiting   map[string]int `json:"waiting,omitempty"`
	catalogNews
}

// catalogNews says how new a node's configuration is.
type catalogNews struct {
	Version int64 `json:"version"`
	// AgeMillis is how long ago the configuration was known to be the newest.
	AgeMillis int64 `json:"age_ms"`
}

// guardCount is how many nodes watch a pool's owner closely: those that would take the
// pool first. The owner's share of pings stays bounded however many nodes there are.
const guardCount = 8

// guards reports whether this node watches a pool's owner closely.
func (n *Node) guards(name string) bool {
	return !n.options.Off[mechanism.Guards] && n.rank(name) < guardCount
}

// pingOwners asks the owners of all pools how they are, again and again: a guard each
// guardPeriod, others each pingPeriod.
func (n *Node) pingOwners() {
	n.pingRound++
	others := n.pingRound%int(pingPeriod/guardPeriod) == 0
	for _, name := range sortedKeys(n.watches) {
		if n.owned[name] == nil && (others || n.guards(name)) {
			n.pingOwner(n.watches[name])
		}
	}
	n.edges.Loop.After(guardPeriod, n.pingOwners)
}

func (n *Node) pingOwner(w *watch) {
	lease := n.leases[w.pool]
	if lease.Owner == "" || lease.Owner == n.options.Name {
		n.leaseChanged(w.pool)
		return
	}
	askedAt := time.Now()
	n.callPeer(lease.Address, methodPing, pingRequest{Pool: w.pool}, func(document []byte, err error) {
		if n.leases[w.pool].version != lease.version {
			return
		}
		if err != nil {
			n.pingFailed(w, err)
			return
		}
		var reply pingReply
		if json.Unmarshal(document, &reply) == nil {
			n.takeNews(lease.Address, reply.catalogNews, askedAt)
			n.pingAnswered(w, reply)
		}
	})
}

func (n *Node) pingAnswered(w *watch, reply pingReply) {
	owner := n.leases[w.pool].Owner
	switch {
	case !reply.Owner:
		// The process is a new life, or was deposed without our knowing.
		w.failures++
		n.replaceIfSuspect(w, "owner "+owner+" does not own")
	case lostStore(reply):
		n.withStore(func() {
			w.failures = pingFailures
			n.replaceIfSuspect(w, "owner "+owner+" lost the store")
		})
	default:
		w.failures = 0
		n.relieveIfWeak(w)
		w.answeredAt = n.now()
		if w.lost {
			w.lost = false
			n.edges.Record.Decided("owner answers again", "pool", w.pool, "owner", owner)
		}
		n.waiting[w.pool] = waitingCounts{counts: reply.Waiting, at: time.Now()}
		n.publish()
	}
}

// lostStore reports whether an owner cannot reach the store in any way.
func lostStore(owner pingReply) bool {
	limit := storeDead
	if owner.StoreLost {
		limit = storeFailing
	}
	return time.Duration(owner.StoreAgeMillis)*time.Millisecond > limit
}

// pingFailed counts a failure. A refused connection says that the process is gone,
// silence says so only the second time.
func (n *Node) pingFailed(w *watch, err error) {
	w.failures++
	if fault.IsKind(err, fault.NoOwner) {
		w.failures++
	}
	n.edges.Record.Count("retries", "ping")
	if !w.lost {
		w.lost = true
		n.edges.Record.Decided("owner does not answer", "pool", w.pool, "owner", n.leases[w.pool].Owner, "token", n.leases[w.pool].version, "reason", string(fault.From(err).Kind))
	}
	n.replaceIfSuspect(w, "owner "+n.leases[w.pool].Owner+" does not answer")
}

// replaceIfSuspect takes a pool from an owner that others do not see either.
func (n *Node) replaceIfSuspect(w *watch, reason string) {
	if !n.suspect(w) || n.stopping.Load() {
		return
	}
	n.askWitnesses(w, n.witnessed(w, reason))
}

// witnessed returns what to do once others have said whether they see a pool's owner.
func (n *Node) witnessed(w *watch, reason string) func(seen bool) {
	lease := n.leases[w.pool]
	return func(seen bool) {
		switch {
		case n.leases[w.pool].version != lease.version:
			// What was suspected of one owner says nothing of the next.
		case seen:
			n.edges.Record.Count("takeovers", "owner_seen_by_others")
			n.edges.Record.Decided("owner left in place", "pool", w.pool, "owner", lease.Owner, "reason", reason)
		default:
			n.acquireLater(w, reason, n.suspect)
		}
	}
}

// witnessCount is how many other nodes are asked whether they see an owner.
const witnessCount = 3

// askWitnesses asks other nodes whether they see a pool's owner. A node that no
// other answers is itself cut off and counts as if the owner were seen.
func (n *Node) askWitnesses(w *watch, done func(seen bool)) {
	asked := n.witnesses(w.pool)
	if len(asked) == 0 {
		done(false)
		return
	}
	left, answers, seen := len(asked), 0, false
	for _, other := range asked {
		n.callPeer(other.Address, methodSeen, pingRequest{Pool: w.pool}, func(document []byte, err error) {
			left--
			var reply seenReply
			if err == nil && json.Unmarshal(document, &reply) == nil {
				answers++
				seen = seen || reply.Seen
			}
			if left == 0 {
				done(seen)
			}
		})
	}
}

// witnesses lists some of the guards of a pool's owner, who know of it from lately.
func (n *Node) witnesses(name string) []member {
	others := n.otherMembers(n.leases[name].Owner)
	slices.SortStableFunc(others, func(a, b member) int {
		if precedes(name, a, b) {
			return -1
		}
		return 1
	})
	guards := others[:min(guardCount, len(others))]
	rand.Shuffle(len(guards), func(i, j int) { guards[i], guards[j] = guards[j], guards[i] })
	return guards[:min(witnessCount, len(guards))]
}

// seenReply says whether a node sees a pool's owner in good health.
type seenReply struct {
	Seen bool `json:"seen"`
}

// seenLimit is how old a good answer of an owner may be: one that a guard has missed two
// pings of is older.
const seenLimit = 600 * time.Millisecond

// otherMembers lists the members besides this node and one more, in random order.
func (n *Node) otherMembers(but string) []member {
	var others []member
	for _, name := range sortedKeys(n.members) {
		if name != n.options.Name && name != but {
			others = append(others, n.members[name])
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others
}

// takeNews takes in what the node at an address knows of the configuration, asked at a time. Its
// age counts from then: counted from the answer it would seem newer by the way, and two
// nodes that tell each other over slow links would never see it age.
func (n *Node) takeNews(address string, news catalogNews, askedAt time.Time) {
	current := n.catalog.Load()
	if current == nil || current.Version < news.Version {
		n.downloadConfiguration(address, news.Version)
		return
	}
	at := askedAt.Add(-time.Duration(news.AgeMillis) * time.Millisecond)
	n.confirm(at)
	n.toldByPeer.Store(&at)
}

// news says how new this node's configuration is. It may be called anywhere.
func (n *Node) news() catalogNews {
	news := catalogNews{AgeMillis: age(n.confirmed.Load()).Milliseconds()}
	if current := n.catalog.Load(); current != nil {
		news.Version = current.Version
	}
	return news
}

// seekPeriod is how often a node without news from the store asks another.
const seekPeriod = 400 * time.Millisecond

// seekAge is the age of the configuration's confirmation from which others are asked:
// the store has not answered this node's question by then.
const seekAge = staleConfirmation + 400*time.Millisecond

// seekConfiguration asks other nodes for the configuration while the store does
// not tell it.
func (n *Node) seekConfiguration() {
	limit := seekAge
	if n.storeLost() {
		// No answer of the store is under way.
		limit = staleConfirmation
	}
	if age(n.confirmed.Load()) > limit {
		others := n.otherMembers("")
		askedAt := time.Now()
		for _, other := range others[:min(2, len(others))] {
			n.callPeer(other.Address, methodNews, struct{}{}, func(document []byte, err error) {
				var news catalogNews
				if err == nil && json.Unmarshal(document, &news) == nil {
					n.takeNews(other.Address, news, askedAt)
				}
			})
		}
	}
	n.edges.Loop.After(seekPeriod, n.seekConfiguration)
}
