package node

import (
	"sync"
	"time"

	"github.com/wheatroad/wheatroad/internal/uptime"
)

const (
	// slowStoreLatency is the latency from which the store counts as slow for all: ten
	// times what it takes at its usual speed, 4 to 15 ms.
	slowStoreLatency = 100 * time.Millisecond
	// latencyPeriod is over how long the least latency is looked for, once or twice.
	latencyPeriod = time.Second
	// reportedLatencyMaxAge is how long what a pool's owner told of the store's latency holds.
	reportedLatencyMaxAge = 2 * time.Second
)

// latencyWindow keeps the least latency of the calls of the last one to two periods. The
// least one is the store's own: others may wait behind large answers on a small link.
type latencyWindow struct {
	mutex             sync.Mutex
	startedAt         time.Time
	current, previous time.Duration
}

// record takes in a call that was answered at a time after a latency.
func (w *latencyWindow) record(now time.Time, latency time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.rotate(now)
	if w.current == 0 || latency < w.current {
		w.current = latency
	}
}

// least returns the least latency, and false if no call was answered lately.
func (w *latencyWindow) least(now time.Time) (time.Duration, bool) {
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

// rotate begins a new period if the present one is over.
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

// reportedLatency is what a pool's owner told of the store's latency.
type reportedLatency struct {
	latency time.Duration
	at      time.Time
}

// recordReportedLatency takes in what a pool's owner told, in milliseconds; 0 is nothing.
func (n *Node) recordReportedLatency(millis int64) {
	if millis > 0 {
		n.reportedLatency.Store(&reportedLatency{latency: time.Duration(millis) * time.Millisecond, at: uptime.Now()})
	}
}

// storeLatencyMillis is what this node tells of the store's latency; 0 if it knows nothing.
func (n *Node) storeLatencyMillis() int64 {
	least, known := n.storeLatency.least(uptime.Now())
	if !known {
		return 0
	}
	return max(1, least.Milliseconds())
}

// storeSlow reports whether the store takes long for every call, by this node's own calls
// or, without any, by those of a pool's owner. To such a store a call without an answer is
// not sent a second time, neither to another part nor through another node: copies of
// calls add to the load under which it is slow. It may be called anywhere.
func (n *Node) storeSlow() bool {
	if least, known := n.storeLatency.least(uptime.Now()); known {
		return least > slowStoreLatency
	}
	reported := n.reportedLatency.Load()
	return reported != nil && uptime.Since(reported.at) < reportedLatencyMaxAge && reported.latency > slowStoreLatency
}
