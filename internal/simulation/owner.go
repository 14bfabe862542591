package simulation

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/wheatroad/wheatroad/internal/catalog"
	"github.com/wheatroad/wheatroad/internal/compatibility"
	"github.com/wheatroad/wheatroad/internal/emulator"
	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/rows"
)

// Owner is a process that owns a pool.
type Owner struct {
	*pool.Pool
	// Name identifies the owner's process, and PoolName the pool.
	Name     string
	PoolName string
	Process  *emulator.Process
	// Ended is the reason why the ownership ended; empty while the process owns the pool.
	Ended string
	// PartitionedFromStore partitions the owner from the store.
	PartitionedFromStore bool
	// PartitionedFrom contains the workers that the owner cannot reach.
	PartitionedFrom map[string]bool
	cluster         *Cluster
}

// AcquirePool starts a new process that acquires the pool PoolName.
func (c *Cluster) AcquirePool() *Owner { return c.Acquire(PoolName) }

// Acquire starts a new process that acquires a pool.
func (c *Cluster) Acquire(poolName string) *Owner {
	c.owners++
	name := fmt.Sprintf("node-%d", c.owners)
	owner := &Owner{cluster: c, Name: name, PoolName: poolName, Process: emulator.NewProcess(c.Clock), PartitionedFrom: map[string]bool{}}
	owner.Process.SteadyTime = c.SuspendedClock
	options := pool.Options{
		Pool: poolName, Node: name, Incarnation: name, Address: name, Bounds: c.Bounds, MaxRowBytes: c.MaxRowBytes, Features: c.Features, DisabledSafeguards: c.DisabledSafeguards, DisabledMechanisms: c.DisabledMechanisms,
		Catalog:          func() *catalog.Catalog { return c.Catalog },
		OnOwnershipEnded: func(reason string) { owner.Ended = reason },
	}
	options.RowFormat, options.CommonFormat = c.rowFormat(poolName), c.CommonFormat
	result := c.Store.Apply(pool.Acquire(options, c.leaseVersion(poolName), name))
	c.ownerOf[result.Version] = owner
	owner.Pool = pool.New(options, owner.Process, &ports{cluster: c, owner: owner, process: owner.Process}, c.Checker, result.Version)
	owner.Process.Post(owner.Pool.Start)
	c.Clock.After(peerCheckPeriod, func() { c.confirmOwnership(owner) })
	if c.OwnerStarted != nil {
		c.OwnerStarted(owner)
	}
	return owner
}

// peerCheckPeriod is the interval at which the other nodes check the owner.
const peerCheckPeriod = 250 * time.Millisecond

// confirmOwnership simulates the other nodes' periodic checks of the owner. While the store is
// unavailable and no other process has acquired the pool, it confirms the ownership.
func (c *Cluster) confirmOwnership(owner *Owner) {
	if owner.Ended != "" {
		return
	}
	if c.Store.Unavailable && !owner.PartitionedFromStore && c.leaseVersion(owner.PoolName) == owner.Token() {
		checkedAt := c.Clock.Now()
		owner.Process.Post(func() { owner.ConfirmOwnership(checkedAt) })
	}
	c.Clock.After(peerCheckPeriod, func() { c.confirmOwnership(owner) })
}

// rowFormat returns the format that a pool's lease states.
func (c *Cluster) rowFormat(poolName string) compatibility.Format {
	var lease pool.Lease
	listing := c.Store.List(pool.NodeTable, poolName, pool.LeaseRow)
	if len(listing.Rows) > 0 {
		if err := json.Unmarshal(listing.Rows[0].Value, &lease); err != nil {
			panic(err)
		}
	}
	return compatibility.Effective(lease.Format)
}

func (c *Cluster) leaseVersion(poolName string) int64 {
	listing := c.Store.List(pool.NodeTable, poolName, pool.LeaseRow)
	if len(listing.Rows) == 0 {
		return rows.Absent
	}
	return listing.Rows[0].Version
}
