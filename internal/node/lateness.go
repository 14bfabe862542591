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
	// latenessCheck is the pause between two looks how late this process is.
	latenessCheck = 100 * time.Millisecond
	// latenessMemory is over how many looks the worst counts, some 1 s.
	latenessMemory = 10
	// latenessNoticed is more than timers are late on a machine with processor time to spare,
	// and latenessFactor how much longer a call may take for each lateness: its goroutine
	// and those that write and read its connection wait in turn.
	latenessNoticed = 20 * time.Millisecond
	latenessFactor  = 4
	// latenessLimit bounds what calls are given on top. A start is not carried out later
	// than 3 s.
	latenessLimit = 1200 * time.Millisecond
)

// lateness is how late this process lately was. All methods but allowance run on the loop.
type lateness struct {
	// watched is true while somebody looks.
	watched bool
	looks   [latenessMemory]time.Duration
	next    int
	worst   atomic.Int64
}

// note takes in how late the process was at one look.
func (l *lateness) note(late time.Duration) {
	l.looks[l.next] = late
	l.next = (l.next + 1) % latenessMemory
	worst := time.Duration(0)
	for _, seen := range l.looks {
		worst = max(worst, seen)
	}
	l.worst.Store(int64(worst))
}

// forget ends the looks and what they found.
func (l *lateness) forget() {
	l.watched = false
	l.looks = [latenessMemory]time.Duration{}
	l.worst.Store(0)
}

// allowance is how much longer a call to a worker may take. It may be called anywhere.
func (l *lateness) allowance() time.Duration {
	worst := time.Duration(l.worst.Load())
	if worst < latenessNoticed {
		return 0
	}
	return min(latenessFactor*worst, latenessLimit)
}

// watchLateness looks how late this process is, again and again while it owns a pool: the
// only calls to workers are an owner's.
func (n *Node) watchLateness() {
	if n.lateness.watched {
		return
	}
	n.lateness.watched = true
	n.lookLateness()
}

func (n *Node) lookLateness() {
	if len(n.owned) == 0 {
		n.lateness.forget()
		return
	}
	due := n.now().Add(latenessCheck)
	n.edges.Loop.After(latenessCheck, func() {
		n.lateness.note(n.now().Sub(due))
		n.lookLateness()
	})
}
