package node

import (
	"context"
	"encoding/json"

	"github.com/wheatroad/wheatroad/internal/fault"
	"github.com/wheatroad/wheatroad/internal/loop"
	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/rows"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// Lookup returns a job's state.
func (g *Gateway) Lookup(ctx context.Context, access Access, id string) (taskgraph.State, error) {
	if !taskgraph.ValidID(id) {
		return "", g.countRefusal(fault.New(fault.UnknownJob, "no such job"))
	}
	state, err := g.lookupInPool(ctx, access.Queue.Pool, id)
	if fault.IsKind(err, fault.UnknownJob) {
		state, err = g.lookupMovedJob(ctx, access, id)
	}
	if err != nil {
		g.node.dependencies.Recorder.LogEvent("lookup refused", "job", id, "queue", access.Queue.Name, "pool", access.Queue.Pool,
			"reason", string(fault.From(err).Kind), "detail", fault.From(err).Detail, "configuration", access.ConfigurationVersion)
		return "", g.countRefusal(err)
	}
	return state, nil
}

// lookupInPool returns the state of a job in a pool. It asks the pool's owner, and reads the store if
// the owner is unresponsive.
func (g *Gateway) lookupInPool(ctx context.Context, poolName, id string) (taskgraph.State, error) {
	n := g.node
	current := n.snapshot.Load()
	lease := current.leases[poolName]
	if current.owned[poolName] == nil && lease.Address != "" && lease.Owner != n.options.Name {
		var reply lookupReply
		err := withTimeout(ctx, pingTimeout, func(ctx context.Context) error {
			document, err := n.call(ctx, lease.Address, methodLookup, jobRequest{Pool: poolName, ID: id})
			if err != nil {
				return err
			}
			return json.Unmarshal(document, &reply)
		})
		if err == nil || fault.IsKind(err, fault.UnknownJob) {
			return reply.State, err
		}
	}
	return g.lookupLocal(ctx, poolName, id)
}

// lookupLocal reads the state from the pool if this node owns it, or else from the store.
func (g *Gateway) lookupLocal(ctx context.Context, poolName, id string) (taskgraph.State, error) {
	n := g.node
	if p := n.snapshot.Load().owned[poolName]; p != nil {
		var state taskgraph.State
		known, elsewhere := false, false
		err := withTimeout(ctx, loopCallTimeout, func(ctx context.Context) error {
			return loop.Call(ctx, n.dependencies.Loop, func() {
				state, known = p.State(id)
				elsewhere = p.BelongsElsewhere(id)
			})
		})
		switch {
		case err != nil:
		case known:
			return state, nil
		case elsewhere:
			return "", fault.New(fault.UnknownJob, "another pool accepted the job before")
		}
	}
	return g.lookupStored(ctx, poolName, id)
}

// lookupStored reads a job's state from the store.
func (g *Gateway) lookupStored(ctx context.Context, poolName, id string) (taskgraph.State, error) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	accepted, cancelled, err := g.storedJob(ctx, poolName, id)
	if err != nil {
		return "", err
	}
	if accepted == "" {
		return "", fault.New(fault.UnknownJob, "no such job")
	}
	state, err := g.storedState(ctx, poolName, id)
	if err == nil && cancelled && !state.Final() {
		return taskgraph.Cancelled, nil
	}
	return state, err
}

// storedJob returns the partition that holds a job and whether the job is canceled. The partition
// is empty if no partition holds the job. If a partition could not be read, storedJob returns an
// error unless it found the job in another one.
func (g *Gateway) storedJob(ctx context.Context, poolName, id string) (accepted string, cancelled bool, err error) {
	for _, part := range pool.JobPartitions(poolName, id) {
		listing, failure := g.node.ports.scan(ctx, pool.JobTable, part, id)
		if failure != nil {
			err = storeReadFault(failure)
			continue
		}
		if hasRow(listing, pool.AcceptedKey(part, id)) {
			accepted = part
		}
		cancelled = cancelled || hasRow(listing, pool.CancelledKey(part, id))
		if accepted != "" {
			return accepted, cancelled, nil
		}
	}
	return accepted, cancelled, err
}

// storedState returns the state in a job's newest progress row, or Queued if the job has none.
func (g *Gateway) storedState(ctx context.Context, poolName, id string) (taskgraph.State, error) {
	var newest pool.Progress
	for _, part := range pool.ProgressPartitions(poolName) {
		listing, err := g.node.ports.scan(ctx, pool.ProgressTable, part, id)
		if err != nil {
			return "", storeReadFault(err)
		}
		for i := range listing.Rows {
			record, err := pool.DecodeProgress(&listing.Rows[i])
			if err != nil {
				return "", fault.New(fault.Internal, "stored job progress cannot be decoded")
			}
			if newest.State == "" || record.NewerThan(&newest) {
				newest = record
			}
		}
	}
	if newest.State == "" {
		return taskgraph.Queued, nil
	}
	return newest.State, nil
}

func storeReadFault(err error) error {
	return fault.New(fault.StoreUnavailable, "the store could not be read: %v", err)
}

func hasRow(listing rows.Listing, key rows.Key) bool {
	for i := range listing.Rows {
		if listing.Rows[i].Key == key {
			return true
		}
	}
	return false
}
