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

// pingRequest checks the health of a pool's owner.
type pingRequest struct {
	Pool string `json:"pool"`
	// From is the name of the requesting node; empty in requests of versions that do not send it.
	From string `json:"from,omitempty"`
	// Token is the owner's fencing token in the lease known to the requesting node.
	Token int64 `json:"token,omitempty"`
	// StoreLost is true while the requesting node has lost the store.
	StoreLost bool `json:"store_lost,omitempty"`
	// HeldMillis is the HeldMillis of the owner's latest reply, or 0 before the first reply; nil in
	// requests of versions that do not send it.
	HeldMillis *int64 `json:"held_ms,omitempty"`
}

// pingReply is the state of the pinged node.
type pingReply struct {
	// Name is the name of the replying node; empty in replies of versions that do not send it.
	Name  string `json:"name,omitempty"`
	Owner bool   `json:"owner"`
	// StoreAgeMillis is how long ago the store last responded to the node, directly or through
	// another node.
	StoreAgeMillis int64 `json:"store_age_ms"`
	// StoreLost is true if a feed or a probe of the node has failed since the store's last direct
	// response.
	StoreLost bool `json:"store_lost,omitempty"`
	// Waiting is the number of waiting jobs by queue. Loaded is true if Waiting has all queues with
	// waiting jobs, so that an empty Waiting means none; owners of older versions do not say so. Neither
	// is set if the owner has not read its rows or the counts exceed maxWaitingBytes.
	Waiting map[string]int `json:"waiting,omitempty"`
	Loaded  bool           `json:"loaded,omitempty"`
	// StoreLatencyMillis is the minimum latency of the node's recent store calls, or 0 if the node
	// made none.
	StoreLatencyMillis int64 `json:"store_latency_ms,omitempty"`
	// HeldMillis is how long the node had held the pool when it replied.
	HeldMillis int64 `json:"held_ms,omitempty"`
	configurationStatus
}

// standbyCount is the number of a pool's standbys: the first nodes in the takeover order, which
// ping the owner each standbyPingPeriod. It bounds the owner's load from these frequent pings.
const standbyCount = 8

// isStandby reports whether this node is a standby for a pool.
func (n *Node) isStandby(name string) bool {
	return !n.options.DisabledMechanisms[mechanism.Standbys] && n.takeoverRank(name) < standbyCount
}

// pingOwners runs one round of pings and schedules the next round. A node pings the owners of pools
// that it is a standby for each standbyPingPeriod, and all other owners each pingPeriod.
func (n *Node) pingOwners() {
	n.confirmIfOnlyNode()
	n.askPossibleSuccessors()
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
	n.dependencies.Loop.After(pause, n.pingOwners)
}

// pingSchedule selects the full rounds, in which a node pings all owners. In other rounds a node
// pings only the owners of pools that it is a standby for.
type pingSchedule struct{ lastFullRound time.Time }

// fullRoundDue reports whether the round that starts now is a full round, and if so records its
// time.
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
	held := w.heldMillis
	request := pingRequest{Pool: w.pool, From: n.options.Name, Token: lease.version, StoreLost: n.storeLost(), HeldMillis: &held}
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
			w.heldMillis = max(w.heldMillis, reply.HeldMillis)
			n.handlePingReply(w, reply)
		}
	})
}

func (n *Node) handlePingReply(w *poolWatcher, reply pingReply) {
	owner := n.leases[w.pool].Owner
	switch {
	case !reply.Owner:
		// The owner's process has restarted, or the owner lost the pool and this node has not read
		// the new lease.
		w.failures++
		n.refreshLease(w)
		n.replaceSuspectedOwner(w, "owner "+owner+" no longer owns the pool")
	case ownerLostStore(reply):
		n.ifStoreReachable(n.unlessSuperseded(w, func() {
			w.failures = suspectAfterFailures
			n.replaceSuspectedOwner(w, "owner "+owner+" lost the store")
		}))
	default:
		w.failures = 0
		n.replaceWeakOwner(w)
		w.lastReplyAt = n.now()
		if w.unresponsive {
			w.unresponsive = false
			n.dependencies.Recorder.LogEvent("owner responsive again", "pool", w.pool, "owner", owner)
			n.refreshMembers()
		}
		n.recordWaiting(w.pool, &reply)
	}
}

// recordWaiting keeps the counts of waiting jobs in an owner's reply, and earlier counts if the owner
// does not know them yet.
func (n *Node) recordWaiting(poolName string, reply *pingReply) {
	counts := reply.Waiting
	if counts == nil && reply.Loaded {
		counts = map[string]int{}
	}
	if counts == nil {
		return
	}
	n.waiting[poolName] = waitingCounts{counts: counts, at: uptime.Now()}
	n.publishSnapshot()
}

// unlessSuperseded returns a function that calls fn unless the pool has another owner by then, or the
// owner has replied since that it is healthy.
func (n *Node) unlessSuperseded(w *poolWatcher, fn func()) func() {
	version, lastReplyAt := n.leases[w.pool].version, w.lastReplyAt
	return func() {
		if n.leases[w.pool].version == version && w.lastReplyAt.Equal(lastReplyAt) {
			fn()
		}
	}
}

// ownerLostStore reports whether an owner has lost the store: the store has not responded to the
// owner for too long, neither directly nor through other nodes.
func ownerLostStore(owner pingReply) bool {
	limit := storeLossTimeout
	if owner.StoreLost {
		limit = failingStoreLossTimeout
	}
	return time.Duration(owner.StoreAgeMillis)*time.Millisecond > limit
}

// handlePingFailure counts a failed ping. A refused connection counts twice, as it shows that the
// owner's process has ended.
func (n *Node) handlePingFailure(w *poolWatcher, err error) {
	w.failures++
	if fault.IsKind(err, fault.NoOwner) {
		w.failures++
	}
	n.dependencies.Recorder.Count("retries", "ping")
	if !w.unresponsive {
		w.unresponsive = true
		n.dependencies.Recorder.LogEvent("owner unresponsive", "pool", w.pool, "owner", n.leases[w.pool].Owner, "token", n.leases[w.pool].version, "reason", string(fault.From(err).Kind))
	}
	n.refreshLease(w)
	n.replaceSuspectedOwner(w, "owner "+n.leases[w.pool].Owner+" is unresponsive")
}

// replaceSuspectedOwner acquires a pool from a suspected owner unless other nodes still reach the
// owner.
func (n *Node) replaceSuspectedOwner(w *poolWatcher, reason string) {
	if !n.ownerSuspected(w) || n.stopping.Load() {
		return
	}
	n.checkOwnerIndirectly(w, n.handleIndirectCheck(w, reason))
}

// handleIndirectCheck returns the function that handles the result of an indirect check of a pool's
// owner.
func (n *Node) handleIndirectCheck(w *poolWatcher, reason string) func(seen bool) {
	lease := n.leases[w.pool]
	return func(seen bool) {
		switch {
		case n.leases[w.pool].version != lease.version:
			// The result is about a previous owner.
		case seen:
			n.dependencies.Recorder.Count("takeovers", "owner_seen_by_others")
			n.dependencies.Recorder.LogEvent("owner reachable from others", "pool", w.pool, "owner", lease.Owner, "reason", reason)
		default:
			n.scheduleAcquire(w, reason, n.ownerSuspected)
		}
	}
}

// handlePingOfOwner handles a ping of a pool that this node owns. If the requesting node knows a newer
// token, this node abandons the pool and handlePingOfOwner returns false. If the tokens match, the
// requesting node did not own the pool when it sent the ping. A ping without HeldMillis may have waited
// for any time and states nothing. If the requesting node has lost the store too, the ownership is
// confirmed without the store, so that running tasks continue.
func (n *Node) handlePingOfOwner(p *pool.Pool, request *pingRequest) bool {
	if request.Token > p.Token() {
		p.Abandon("ping with a newer token")
		return false
	}
	if request.From != "" {
		n.statements.pingedAt[request.From] = n.now()
	}
	if request.Token != p.Token() {
		return true
	}
	sentAfter := n.requestedAfter(p, request)
	if request.HeldMillis != nil {
		n.statements.record(request.Pool, request.From, sentAfter)
	}
	if request.StoreLost {
		n.confirmWithoutStore(request.Pool, request.From, sentAfter)
	}
	return true
}

// requestedAfter returns a time before which a ping was certainly not sent. The ping may have waited
// while this process was stopped, and another node may have acquired the pool meanwhile.
func (n *Node) requestedAfter(p *pool.Pool, request *pingRequest) time.Time {
	now := n.now()
	if request.HeldMillis == nil {
		return now
	}
	repliedAt := p.AcquiredAt().Add(time.Duration(*request.HeldMillis) * time.Millisecond)
	if repliedAt.After(now) {
		return now
	}
	return repliedAt
}

// servePing handles another node's ping of a pool's owner.
func (n *Node) servePing(ctx context.Context, request pingRequest) (pingReply, error) {
	reply := pingReply{
		Name: n.options.Name, StoreAgeMillis: n.storeReachedAge().Milliseconds(), StoreLost: n.storeLost(),
		StoreLatencyMillis: n.storeLatencyMillis(), configurationStatus: n.currentConfigurationStatus(),
	}
	err := loop.Call(ctx, n.dependencies.Loop, func() {
		p := n.owned[request.Pool]
		if p == nil || !n.handlePingOfOwner(p, &request) {
			return
		}
		n.pingHistory.record(request.From, n.now())
		reply.Owner, reply.HeldMillis = true, n.now().Sub(p.AcquiredAt()).Milliseconds()
		if p.Loaded() {
			reply.setWaiting(p.WaitingJobs())
		}
	})
	return reply, err
}

const (
	// maxWaitingBytes bounds the counts of waiting jobs in a reply. Each node pings the owner several
	// times a second. A node without the counts asks the owner when a caller asks it.
	maxWaitingBytes = 1000
	// waitingEntryBytes is the size of a count in a reply without the queue's name.
	waitingEntryBytes = 10
)

// setWaiting sets the counts of waiting jobs, unless there are too many for a reply.
func (r *pingReply) setWaiting(counts map[string]int) {
	bytes := 0
	for queue := range counts {
		bytes += len(queue) + waitingEntryBytes
	}
	if bytes <= maxWaitingBytes {
		r.Waiting, r.Loaded = counts, true
	}
}
