package node

import (
	"sync"
	"time"

	"github.com/wheatroad/wheatroad/internal/uptime"
)

const (
	// slowStoreLatency is the latency above which the store counts as slow. It is many times the
	// usual latency of 4 to 15 ms.
	slowStoreLatency = 100 * time.Millisecond
	// latencyPeriod is the length of one period of a latencyWindow.
	latencyPeriod = time.Second
	// reportedLatencyMaxAge is how long a latency reported by a pool's owner is used.
	reportedLatencyMaxAge = 2 * time.Second
)

// latencyWindow keeps the minimum latency of the current and the previous period. The minimum is
// the best estimate of the store's own latency, as calls with a higher latency may have queued
// behind large responses on a slow link.
type latencyWindow struct {
	mutex             sync.Mutex
	startedAt         time.Time
	current, previous time.Duration
}

// record adds the latency of a call whose response arrived at now.
func (w *latencyWindow) record(now time.Time, latency time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.rotate(now)
	if w.current == 0 || latency < w.current {
		w.current = latency
	}
}

// minimum returns the minimum latency, and false if no call was recorded in the two periods.
func (w *latencyWindow) minimum(now time.Time) (time.Duration, bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.rotate(now)
	switch {
	case w.current == 0:
		return w.previous, w.previous > 0
	case w.previous == 0:
		return w.current, true
	}
	return min(w.current, w.previous), true
}

// rotate starts a new period if the current one is over.
func (w *latencyWindow) rotate(now time.Time) {
	elapsed := now.Sub(w.startedAt)
	switch {
	case elapsed < latencyPeriod:
		return
	case elapsed < 2*latencyPeriod:
		w.previous = w.current
	default:
		w.previous = 0
	}
	w.current = 0
	w.startedAt = now
}

// reportedLatency is the store's latency as reported by a pool's owner.
type reportedLatency struct {
	latency time.Duration
	at      time.Time
}

// recordReportedLatency stores the latency that a pool's owner reported, in milliseconds. It
// ignores 0, which means unknown.
func (n *Node) recordReportedLatency(millis int64) {
	if millis > 0 {
		n.reportedLatency.Store(&reportedLatency{latency: time.Duration(millis) * time.Millisecond, at: uptime.Now()})
	}
}

// storeLatencyMillis returns the store latency that this node reports to other nodes, or 0 if it is
// unknown.
func (n *Node) storeLatencyMillis() int64 {
	minimum, known := n.storeLatency.minimum(uptime.Now())
	if !known {
		return 0
	}
	return max(1, minimum.Milliseconds())
}

// storeSlow reports whether the store is slow for all calls. It judges by the latency of this
// node's own calls if known, and otherwise by the latency that a pool's owner reported. A slow
// store gets no hedged writes and longer probe timeouts, as duplicate calls add to the store's
// load. storeSlow may be called from any goroutine.
func (n *Node) storeSlow() bool {
	if minimum, known := n.storeLatency.minimum(uptime.Now()); known {
		return minimum > slowStoreLatency
	}
	reported := n.reportedLatency.Load()
	return reported != nil && uptime.Since(reported.at) < reportedLatencyMaxAge && reported.latency > slowStoreLatency
}
