package node

import (
	"context"
	"time"

	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/uptime"
)

// probeTimeout bounds a probe, which is a small read that tests whether the store responds to this
// node. It is longer than a read of a store takes that is fifty times slower than usual.
const probeTimeout = 400 * time.Millisecond

// slowProbeTimeout bounds a probe while the store is slow for all calls. It is longer than a read
// of a store takes that is two hundred times slower than usual.
const slowProbeTimeout = 1200 * time.Millisecond

// currentProbeTimeout returns the timeout for the next probe.
func (n *Node) currentProbeTimeout() time.Duration {
	if n.storeSlow() {
		return slowProbeTimeout
	}
	return probeTimeout
}

// ifStoreReachable runs fn on the loop if the store responds to this node directly. It probes the
// store unless the store has responded recently.
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

// storeFreshAge is the age of the store's last direct response below which ifStoreReachable does
// not probe.
const storeFreshAge = time.Second

// probe reads this node's own row directly from the store.
func (n *Node) probe(ctx context.Context) (struct{}, error) {
	_, err := n.dependencies.Store.Scan(ctx, pool.NodeTable, "", n.options.Name)
	n.recordStoreResult(err)
	return struct{}{}, err
}

// confirmStoreLost probes the store and reports whether this node has lost the store. It is for use
// after a call that failed or takes long. Concurrent callers share one probe.
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
	if !n.storeRespondedSince(startedAt) {
		n.recordStoreFailure(err)
	}
	n.currentProbe.Store(nil)
	close(probe.done)
	return n.storeLost()
}

// storeProbe is a probe in flight.
type storeProbe struct{ done chan struct{} }

// probePeriod is the interval between probes of a lost store.
const probePeriod = 200 * time.Millisecond

// startRecoveryProbes starts to probe a lost store until the store responds.
func (n *Node) startRecoveryProbes() {
	if n.recoveryProbing {
		return
	}
	n.recoveryProbing = true
	n.probeUntilResponse()
}

func (n *Node) probeUntilResponse() {
	if !n.storeLost() {
		n.recoveryProbing = false
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(n.ports.ctx, n.currentProbeTimeout())
		defer cancel()
		// probe records a success with recordStoreResult. After a failure the next probe follows.
		_, _ = n.probe(ctx)
		n.dependencies.Loop.After(probePeriod, n.probeUntilResponse)
	}()
}
