package node

import (
	"sync/atomic"
	"time"
)

// A process at the limit of its processor notices answers late. Its calls to workers then run
// out of time though they were answered, each ends its connection, and connections that have
// to be opened anew cost it more processor still, until it does little else: an owner of 3,000
// workers opened 2,599 a second. So it gives workers the more time the later it is itself.
const (
	// delaySampleInterval is the pause between two looks how late this process is.
	delaySampleInterval = 100 * time.Millisecond
	// delaySampleCount is over how many looks the worst counts, some 1 s.
	delaySampleCount = 10
	// minSchedulingDelay is more than timers are late on a machine with processor time to spare,
	// and latenessFactor how much longer a call may take for each lateness: its goroutine
	// and those that write and read its connection wait in turn.
	minSchedulingDelay     = 20 * time.Millisecond
	timeoutExtensionFactor = 4
	// maxTimeoutExtension bounds what calls are given on top. A start is not carried out later
	// than 3 s.
	maxTimeoutExtension = 1200 * time.Millisecond
)

// schedulingDelay is how late this process lately was. All methods but allowance run on the loop.
type schedulingDelay struct {
	// sampling is true while somebody looks.
	sampling bool
	samples  [delaySampleCount]time.Duration
	next     int
	maximum  atomic.Int64
}

// record takes in how late the process was at one look.
func (l *schedulingDelay) record(delay time.Duration) {
	l.samples[l.next] = delay
	l.next = (l.next + 1) % delaySampleCount
	maximum := time.Duration(0)
	for _, sample := range l.samples {
		maximum = max(maximum, sample)
	}
	l.maximum.Store(int64(maximum))
}

// reset ends the looks and what they found.
func (l *schedulingDelay) reset() {
	l.sampling = false
	l.samples = [delaySampleCount]time.Duration{}
	l.maximum.Store(0)
}

// timeoutExtension is how much longer a call to a worker may take. It may be called anywhere.
func (l *schedulingDelay) timeoutExtension() time.Duration {
	maximum := time.Duration(l.maximum.Load())
	if maximum < minSchedulingDelay {
		return 0
	}
	return min(timeoutExtensionFactor*maximum, maxTimeoutExtension)
}

// startDelaySampling looks how late this process is, again and again while it owns a pool: the
// only calls to workers are an owner's.
func (n *Node) startDelaySampling() {
	if n.schedulingDelay.sampling {
		return
	}
	n.schedulingDelay.sampling = true
	n.sampleDelay()
}

func (n *Node) sampleDelay() {
	if len(n.owned) == 0 {
		n.schedulingDelay.reset()
		return
	}
	due := n.now().Add(delaySampleInterval)
	n.edges.Loop.After(delaySampleInterval, func() {
		n.schedulingDelay.record(n.now().Sub(due))
		n.sampleDelay()
	})
}
