package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/wheatroad/wheatroad/internal/fault"
	"github.com/wheatroad/wheatroad/internal/loop"
	"github.com/wheatroad/wheatroad/internal/mechanism"
	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/uptime"
)

// pingRequest asks a pool's owner how it is.
type pingRequest struct {
	Pool string `json:"pool"`
	// From is the name of the node that asks; empty in calls of versions that did not tell it.
	From string `json:"from,omitempty"`
	// Token is the owner's, by the lease as the asking node knows it.
	Token int64 `json:"token,omitempty"`
	// StoreLost is true while the store does not answer the asking node.
	StoreLost bool `json:"store_lost,omitempty"`
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
	// StoreLatencyMillis is the least latency of the node's late calls to the store; 0 if
	// there were none.
	StoreLatencyMillis int64 `json:"store_latency_ms,omitempty"`
	configurationStatus
}

// standbyCount is how many nodes watch a pool's owner closely: those that would take the
// pool first. The owner's share of pings stays bounded however many nodes there are.
const standbyCount = 8

// isStandby reports whether this node watches a pool's owner closely.
func (n *Node) isStandby(name string) bool {
	return !n.options.Off[mechanism.Guards] && n.takeoverRank(name) < standbyCount
}

// pingOwners asks the owners of all pools how they are, again and again: a guard each
// guardPeriod, others each pingPeriod.
func (n *Node) pingOwners() {
	n.confirmIfOnlyNode()
	fullRound := n.pings.fullRoundDue(n.now())
	pause := pingPeriod
	for _, name := range sortedKeys(n.watchers) {
		standby := n.isStandby(name)
		if n.owned[name] == nil && (fullRound || standby) {
			n.pingOwner(n.watchers[name])
		}
		if standby || n.owned[name] != nil {
			pause = standbyPingPeriod
		}
	}
	n.edges.Loop.After(pause, n.pingOwners)
}

// pingSchedule says in which rounds of pings a node that guards no owner takes part. Rounds
// come each guardPeriod or pingPeriod.
type pingSchedule struct{ lastFullRound time.Time }

// fullRoundDue reports whether a round at a time is one for all nodes.
func (s *pingSchedule) fullRoundDue(now time.Time) bool {
	if now.Sub(s.lastFullRound) < pingPeriod-standbyPingPeriod/2 {
		return false
	}
	s.lastFullRound = now
	return true
}

func (n *Node) pingOwner(w *poolWatcher) {
	lease := n.leases[w.pool]
	if lease.Owner == "" || lease.Owner == n.options.Name {
		n.handleLeaseChange(w.pool)
		return
	}
	requestedAt := uptime.Now()
	request := pingRequest{Pool: w.pool, From: n.options.Name, Token: lease.version, StoreLost: n.storeLost()}
	n.callPeer(lease.Address, methodPing, request, func(document []byte, err error) {
		if n.leases[w.pool].version != lease.version {
			return
		}
		if err != nil {
			n.handlePingFailure(w, err)
			return
		}
		var reply pingReply
		if json.Unmarshal(document, &reply) == nil {
			n.handleConfigurationStatus(lease.Address, reply.configurationStatus, requestedAt)
			n.recordReportedLatency(reply.StoreLatencyMillis)
			n.handlePingReply(w, reply)
		}
	})
}

func (n *Node) handlePingReply(w *poolWatcher, reply pingReply) {
	owner := n.leases[w.pool].Owner
	switch {
	case !reply.Owner:
		// The process is a new life, or was deposed without our knowing.
		w.failures++
		n.refreshLease(w)
		n.replaceSuspectedOwner(w, "owner "+owner+" does not own")
	case ownerLostStore(reply):
		n.ifStoreReachable(func() {
			w.failures = suspectAfterFailures
			n.replaceSuspectedOwner(w, "owner "+owner+" lost the store")
		})
	default:
		w.failures = 0
		n.replaceWeakOwner(w)
		w.lastReplyAt = n.now()
		if w.unresponsive {
			w.unresponsive = false
			n.edges.Record.Decided("owner answers again", "pool", w.pool, "owner", owner)
			n.refreshMembers()
		}
		n.waiting[w.pool] = waitingCounts{counts: reply.Waiting, at: uptime.Now()}
		n.publishSnapshot()
	}
}

// ownerLostStore reports whether an owner cannot reach the store in any way.
func ownerLostStore(owner pingReply) bool {
	limit := storeLossTimeout
	if owner.StoreLost {
		limit = failingStoreLossTimeout
	}
	return time.Duration(owner.StoreAgeMillis)*time.Millisecond > limit
}

// handlePingFailure counts a failure. A refused connection says that the process is gone,
// silence says so only the second time.
func (n *Node) handlePingFailure(w *poolWatcher, err error) {
	w.failures++
	if fault.IsKind(err, fault.NoOwner) {
		w.failures++
	}
	n.edges.Record.Count("retries", "ping")
	if !w.unresponsive {
		w.unresponsive = true
		n.edges.Record.Decided("owner does not answer", "pool", w.pool, "owner", n.leases[w.pool].Owner, "token", n.leases[w.pool].version, "reason", string(fault.From(err).Kind))
	}
	n.refreshLease(w)
	n.replaceSuspectedOwner(w, "owner "+n.leases[w.pool].Owner+" does not answer")
}

// replaceSuspectedOwner takes a pool from an owner that others do not see either.
func (n *Node) replaceSuspectedOwner(w *poolWatcher, reason string) {
	if !n.ownerSuspected(w) || n.stopping.Load() {
		return
	}
	n.checkOwnerIndirectly(w, n.handleIndirectCheck(w, reason))
}

// handleIndirectCheck returns what to do once others have said whether they see a pool's owner.
func (n *Node) handleIndirectCheck(w *poolWatcher, reason string) func(seen bool) {
	lease := n.leases[w.pool]
	return func(seen bool) {
		switch {
		case n.leases[w.pool].version != lease.version:
			// What was suspected of one owner says nothing of the next.
		case seen:
			n.edges.Record.Count("takeovers", "owner_seen_by_others")
			n.edges.Record.Decided("owner left in place", "pool", w.pool, "owner", lease.Owner, "reason", reason)
		default:
			n.scheduleAcquire(w, reason, n.ownerSuspected)
		}
	}
}

// confirmOwnership takes in what a node that asks a pool's owner knows of the lease. It returns false
// if the pool has another owner by now. With the store away for both, that it knows of none
// lets the owner keep what runs alive.
func (n *Node) confirmOwnership(p *pool.Pool, request *pingRequest) bool {
	if request.Token > p.Token() {
		p.Abandon("another node knows a newer owner")
		return false
	}
	if request.Token == p.Token() && request.StoreLost {
		p.Confirm(n.now())
	}
	return true
}

// confirmIfOnlyNode lets owned pools keep what runs alive while the store is away, if there is no
// other node that could take them.
func (n *Node) confirmIfOnlyNode() {
	if !n.storeLost() || len(n.otherMembersExcept("")) > 0 {
		return
	}
	for _, name := range sortedKeys(n.owned) {
		n.owned[name].Confirm(n.now())
	}
}

// servePing answers another node about a pool.
func (n *Node) servePing(ctx context.Context, request pingRequest) (pingReply, error) {
	reply := pingReply{
		StoreAgeMillis: n.storeReachedAge().Milliseconds(), StoreLost: n.storeLost(),
		StoreLatencyMillis: n.storeLatencyMillis(), configurationStatus: n.currentConfigurationStatus(),
	}
	err := loop.Call(ctx, n.edges.Loop, func() {
		p := n.owned[request.Pool]
		if p == nil || !n.confirmOwnership(p, &request) {
			return
		}
		n.pingHistory.record(request.From, n.now())
		reply.Owner = true
		if p.Loaded() {
			reply.Waiting = p.Waiting()
		}
	})
	return reply, err
}
