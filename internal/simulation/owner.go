package simulation

import (
	"fmt"
	"time"

	"github.com/wheatroad/wheatroad/internal/catalog"
	"github.com/wheatroad/wheatroad/internal/emulator"
	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/rows"
)

// Owner is a process that owns the pool.
type Owner struct {
	*pool.Pool
	Process *emulator.Process
	// Ended is the reason why the owner gave up the pool; empty while it owns it.
	Ended string
	// PartitionedFromStore partitions the owner from the store; PartitionedFrom contains the
	// workers that it cannot reach.
	PartitionedFromStore bool
	PartitionedFrom      map[string]bool
	world                *Cluster
}

// AcquirePool starts a new process that acquires the pool.
func (w *Cluster) AcquirePool() *Owner {
	w.owners++
	name := fmt.Sprintf("node-%d", w.owners)
	owner := &Owner{world: w, Process: emulator.NewProcess(w.Clock), PartitionedFrom: map[string]bool{}}
	owner.Process.SteadyTime = w.SuspendedClock
	options := pool.Options{
		Pool: PoolName, Node: name, Incarnation: name, Address: name, Bounds: w.Bounds, DisabledSafeguards: w.DisabledSafeguards, DisabledMechanisms: w.DisabledMechanisms,
		Catalog:          func() *catalog.Catalog { return w.Catalog },
		OnOwnershipEnded: func(reason string) { owner.Ended = reason },
	}
	result := w.Store.Apply(pool.Acquire(options, w.leaseVersion(), name))
	w.ownerOf[result.Version] = owner
	owner.Pool = pool.New(options, owner.Process, &ports{cluster: w, owner: owner, process: owner.Process}, w.Checker, result.Version)
	owner.Process.Post(owner.Pool.Start)
	w.Clock.After(peerCheckPeriod, func() { w.confirmOwnership(owner) })
	return owner
}

// peerCheckPeriod is the interval at which other nodes query an owner.
const peerCheckPeriod = 250 * time.Millisecond

// confirmOwnership periodically confirms, while the whole store is unavailable, that the other
// nodes know of no other owner.
func (w *Cluster) confirmOwnership(owner *Owner) {
	if owner.Ended != "" {
		return
	}
	if w.Store.Unavailable && !owner.PartitionedFromStore && w.leaseVersion() == owner.Token() {
		owner.Process.Post(func() { owner.ConfirmOwnership(w.Clock.Now()) })
	}
	w.Clock.After(peerCheckPeriod, func() { w.confirmOwnership(owner) })
}

func (w *Cluster) leaseVersion() int64 {
	listing := w.Store.List(pool.NodeTable, PoolName, pool.LeaseRow)
	if len(listing.Rows) == 0 {
		return rows.Absent
	}
	return listing.Rows[0].Version
}
