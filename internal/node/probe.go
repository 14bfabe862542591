package node

import (
	"context"
	"time"

	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/uptime"
)

// probeTimeout bounds a look whether the store is there. A store that is slow for all, by
// some fifty times, still answers a reading call in 0.2 s.
const probeTimeout = 400 * time.Millisecond

// slowProbeTimeout bounds it while the store is slow for all: longer than its reading
// calls take that are two hundred times slower.
const slowProbeTimeout = 1200 * time.Millisecond

// currentProbeTimeout bounds a look whether the store is there.
func (n *Node) currentProbeTimeout() time.Duration {
	if n.storeSlow() {
		return slowProbeTimeout
	}
	return probeTimeout
}

// ifStoreReachable runs fn on the loop if the store answers this node directly.
func (n *Node) ifStoreReachable(fn func()) {
	if n.storeLost() {
		return
	}
	if n.storeAge() < storeFreshAge {
		fn()
		return
	}
	runAsync(n.ports, fixedTimeout(n.currentProbeTimeout()), n.probe, func(_ struct{}, err error) {
		if err == nil {
			fn()
		}
	})
}

// storeFreshAge is the age of the store's last answer up to which a node need not ask
// whether it is there.
const storeFreshAge = time.Second

// probe asks the store for this node's own row, directly.
func (n *Node) probe(ctx context.Context) (struct{}, error) {
	_, err := n.edges.Store.Scan(ctx, pool.NodeTable, "", n.options.Name)
	n.recordStoreResult(err)
	return struct{}{}, err
}

// confirmStoreLost looks whether the store still answers this node, after a call to it that
// failed or takes long. Calls that ask at the same time share one look.
func (n *Node) confirmStoreLost() bool {
	if n.storeLost() {
		return true
	}
	probe := &storeProbe{done: make(chan struct{})}
	if !n.currentProbe.CompareAndSwap(nil, probe) {
		if other := n.currentProbe.Load(); other != nil {
			<-other.done
		}
		return n.storeLost()
	}
	startedAt := uptime.Now()
	ctx, cancel := context.WithTimeout(n.ports.ctx, n.currentProbeTimeout())
	defer cancel()
	_, err := n.probe(ctx)
	if !n.storeAnsweredSince(startedAt) {
		n.recordStoreFailure(err)
	}
	n.currentProbe.Store(nil)
	close(probe.done)
	return n.storeLost()
}

// storeProbe is a look at the store under way.
type storeProbe struct{ done chan struct{} }

// probePeriod is the pause between two direct calls that look whether the store is
// back.
const probePeriod = 200 * time.Millisecond

// startRecoveryProbes looks whether a store that this node lost is back, until it is.
func (n *Node) startRecoveryProbes() {
	if n.recoveryProbing {
		return
	}
	n.recoveryProbing = true
	n.probeUntilAnswered()
}

func (n *Node) probeUntilAnswered() {
	if !n.storeLost() {
		n.recoveryProbing = false
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(n.ports.ctx, n.currentProbeTimeout())
		defer cancel()
		// A store that is still away shows by what noteStore does not note.
		_, _ = n.probe(ctx)
		n.edges.Loop.After(probePeriod, n.probeUntilAnswered)
	}()
}
