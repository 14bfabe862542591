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
	// Ended says why the owner gave up, if it did.
	Ended string
	// CutFromStore owners get no answer of the store, CutFrom names workers that they cannot
	// reach.
	CutFromStore bool
	CutFrom      map[string]bool
	world        *World
}

// Own takes the pool as a new process.
func (w *World) Own() *Owner {
	w.owners++
	name := fmt.Sprintf("node-%d", w.owners)
	owner := &Owner{world: w, Process: emulator.NewProcess(w.Clock), CutFrom: map[string]bool{}}
	owner.Process.SteadyTime = w.SteadyTime
	options := pool.Options{
		Pool: PoolName, Node: name, Incarnation: name, Address: name, Bounds: w.Bounds, Without: w.Without, Off: w.Off,
		Catalog: func() *catalog.Catalog { return w.Catalog },
		Ended:   func(reason string) { owner.Ended = reason },
	}
	result := w.Store.Apply(pool.Acquire(options, w.leaseVersion(), name))
	w.ownerOf[result.Version] = owner
	owner.Pool = pool.New(options, owner.Process, &ports{world: w, owner: owner, process: owner.Process}, w.Judge, result.Version)
	owner.Process.Post(owner.Pool.Start)
	w.Clock.After(peerPeriod, func() { w.peersTell(owner) })
	return owner
}

// peerPeriod is how often other nodes ask an owner how it is.
const peerPeriod = 250 * time.Millisecond

// peersTell lets the other nodes, while they reach the store no more than the owner does, tell
// it that they know of no other owner.
func (w *World) peersTell(owner *Owner) {
	if owner.Ended != "" {
		return
	}
	if w.Store.AwayAll && !owner.CutFromStore && w.leaseVersion() == owner.Token() {
		owner.Process.Post(func() { owner.Confirm(w.Clock.Now()) })
	}
	w.Clock.After(peerPeriod, func() { w.peersTell(owner) })
}

func (w *World) leaseVersion() int64 {
	listing := w.Store.List(pool.NodeTable, PoolName, pool.LeaseRow)
	if len(listing.Rows) == 0 {
		return rows.Absent
	}
	return listing.Rows[0].Version
}
