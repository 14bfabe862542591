package node

import (
	"sync/atomic"
	"time"
)

// A process short of processor time reads replies late. Calls to workers then time out although the
// workers replied in time, and reopening the connections takes even more processor time. The
// process therefore extends the timeouts of these calls by a multiple of its own scheduling delay.
const (
	// delaySampleInterval is the interval between samples of the delay.
	delaySampleInterval = 100 * time.Millisecond
	// delaySampleCount is how many of the last samples count towards the maximum.
	delaySampleCount = 10
	// minSchedulingDelay is the delay from which timeouts are extended. It is more than timers are
	// late on an idle machine. The extension is timeoutExtensionFactor times the delay: the call's
	// goroutine, the connection's writer and the connection's reader are each delayed in turn.
	minSchedulingDelay     = 20 * time.Millisecond
	timeoutExtensionFactor = 4
	// maxTimeoutExtension bounds the extension. The extended timeout stays below the age from which
	// workers refuse a start.
	maxTimeoutExtension = 1200 * time.Millisecond
)

// schedulingDelay tracks how late timers of this process have fired recently. All methods but
// timeoutExtension run on the loop.
type schedulingDelay struct {
	// sampling is true while samples are taken.
	sampling bool
	samples  [delaySampleCount]time.Duration
	next     int
	maximum  atomic.Int64
}

// record adds a sample.
func (d *schedulingDelay) record(delay time.Duration) {
	d.samples[d.next] = delay
	d.next = (d.next + 1) % delaySampleCount
	maximum := time.Duration(0)
	for _, sample := range d.samples {
		maximum = max(maximum, sample)
	}
	d.maximum.Store(int64(maximum))
}

// reset stops sampling and clears the samples.
func (d *schedulingDelay) reset() {
	d.sampling = false
	d.samples = [delaySampleCount]time.Duration{}
	d.maximum.Store(0)
}

// timeoutExtension returns how much longer a call to a worker may take. It may be called from any
// goroutine.
func (d *schedulingDelay) timeoutExtension() time.Duration {
	maximum := time.Duration(d.maximum.Load())
	if maximum < minSchedulingDelay {
		return 0
	}
	return min(timeoutExtensionFactor*maximum, maxTimeoutExtension)
}

// startDelaySampling samples the scheduling delay while this node owns a pool, as only owners call
// workers.
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
	n.dependencies.Loop.After(delaySampleInterval, func() {
		n.schedulingDelay.record(n.now().Sub(due))
		n.sampleDelay()
	})
}
