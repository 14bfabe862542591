package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/wheatroad/wheatroad/internal/fault"
	"github.com/wheatroad/wheatroad/internal/loop"
	"github.com/wheatroad/wheatroad/internal/uptime"
)

const (
	// waitingCacheMaxAge is the maximum age of a cached count of waiting jobs in the queue's pool,
	// which is used if the pool's owner does not answer.
	waitingCacheMaxAge = 1500 * time.Millisecond
	// otherPoolsWaitingMaxAge is the maximum age of the counts of other pools, whose owners are asked
	// only if their counts are older. A count may be 2 s old.
	otherPoolsWaitingMaxAge = 2 * time.Second
)

// WaitingJobs returns how many jobs of a queue have started no task. Jobs that were accepted before
// the queue moved to its present pool wait in another one.
func (g *Gateway) WaitingJobs(ctx context.Context, access Access) (int, error) {
	total, err := g.waitingInPool(ctx, access.Queue.Pool, access.Queue.Name)
	for _, name := range g.node.snapshot.Load().watched {
		if err != nil {
			break
		}
		if name != access.Queue.Pool {
			var count int
			count, err = g.waitingInOtherPool(ctx, name, access.Queue.Name)
			total += count
		}
	}
	if err != nil {
		return 0, g.countRefusal(err)
	}
	return total, nil
}

// waitingInOtherPool returns the count of a pool other than the queue's, from the owner's latest ping
// reply if that is recent.
func (g *Gateway) waitingInOtherPool(ctx context.Context, poolName, queue string) (int, error) {
	if count, recent := g.cachedWaiting(poolName, queue, otherPoolsWaitingMaxAge); recent {
		return count, nil
	}
	return g.waitingInPool(ctx, poolName, queue)
}

func (g *Gateway) cachedWaiting(poolName, queue string, maxAge time.Duration) (int, bool) {
	cached := g.node.snapshot.Load().waiting[poolName]
	if cached.counts == nil || uptime.Since(cached.at) >= maxAge {
		return 0, false
	}
	return cached.counts[queue], true
}

// waitingInPool returns the count of one pool. It asks the pool's owner.
func (g *Gateway) waitingInPool(ctx context.Context, poolName, queue string) (int, error) {
	n := g.node
	current := n.snapshot.Load()
	lease := current.leases[poolName]
	if current.owned[poolName] != nil || lease.Address == "" || lease.Owner == n.options.Name {
		return g.waitingLocal(ctx, poolName, queue)
	}
	var reply waitingReply
	err := withTimeout(ctx, pingTimeout, func(ctx context.Context) error {
		document, err := n.call(ctx, lease.Address, methodWaiting, jobRequest{Pool: poolName, Queue: queue})
		if err != nil {
			return err
		}
		return json.Unmarshal(document, &reply)
	})
	if err == nil {
		return reply.Waiting, nil
	}
	if count, recent := g.cachedWaiting(poolName, queue, waitingCacheMaxAge); recent {
		return count, nil
	}
	return 0, fault.New(fault.NoOwner, "the pool's owner is unresponsive")
}

func (g *Gateway) waitingLocal(ctx context.Context, poolName, queue string) (int, error) {
	n := g.node
	p := n.snapshot.Load().owned[poolName]
	if p == nil {
		return 0, fault.New(fault.NoOwner, "this node does not own the pool")
	}
	count, loaded := 0, false
	err := withTimeout(ctx, loopCallTimeout, func(ctx context.Context) error {
		return loop.Call(ctx, n.dependencies.Loop, func() {
			loaded = p.Loaded()
			count = p.WaitingJobs()[queue]
		})
	})
	if err != nil || !loaded {
		return 0, fault.New(fault.NoOwner, "this node owns the pool but has not loaded its state, or its loop is busy")
	}
	return count, nil
}
