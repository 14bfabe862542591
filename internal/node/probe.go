package node

import (
	"context"
	"time"

	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/uptime"
)

// probeTimeout bounds a probe of the store. A store at a fiftieth of its usual speed still answers
// a read in 0.2 s.
const probeTimeout = 400 * time.Millisecond

// slowProbeTimeout bounds a probe while the store is slow for all calls.
const slowProbeTimeout = 1200 * time.Millisecond

// currentProbeTimeout returns the timeout for the next probe.
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

// storeFreshAge is the age of the store's last response below which no probe is needed.
const storeFreshAge = time.Second

// probe reads this node's own row directly from the store.
func (n *Node) probe(ctx context.Context) (struct{}, error) {
	_, err := n.dependencies.Store.Scan(ctx, pool.NodeTable, "", n.options.Name)
	n.recordStoreResult(err)
	return struct{}{}, err
}

// confirmStoreLost probes the store after a call that failed or takes long, and reports whether
// this node has lost it. Concurrent callers share one probe.
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

// startRecoveryProbes probes a lost store until it answers.
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
		// recordStoreResult records a success; a failure is followed by the next probe.
		_, _ = n.probe(ctx)
		n.dependencies.Loop.After(probePeriod, n.probeUntilResponse)
	}()
}
