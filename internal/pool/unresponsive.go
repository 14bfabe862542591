package pool

import "time"

// Idle workers are not polled. If all workers of a rack, a switch or a zone stop responding at
// once, the owner would detect the idle workers among them only when a gang is placed on them and
// fails to start. When many workers stop responding at once, the owner therefore polls all idle
// workers, at most once per idlePollInterval.

const (
	// unresponsiveThreshold is how many workers have to stop responding within unresponsiveWindow.
	unresponsiveThreshold = 3
	unresponsiveWindow    = time.Second
	idlePollInterval      = 2 * time.Second
)

// unresponsiveWorkers holds the latest unresponsiveThreshold times at which a worker stopped
// responding.
type unresponsiveWorkers struct {
	recent   [unresponsiveThreshold]time.Time
	next     int
	polledAt time.Time
}

// add records that a worker stopped responding. It returns true if all idle workers should be
// polled.
func (s *unresponsiveWorkers) add(now time.Time) bool {
	s.recent[s.next] = now
	s.next = (s.next + 1) % unresponsiveThreshold
	// The next slot to be overwritten holds the earliest time.
	if now.Sub(s.recent[s.next]) > unresponsiveWindow || now.Sub(s.polledAt) < idlePollInterval {
		return false
	}
	s.polledAt = now
	return true
}

// pollIdleWorkers polls all idle workers if many workers have stopped responding at once.
func (p *Pool) pollIdleWorkers() {
	if !p.loaded || !p.unresponsive.add(p.loop.Now()) {
		return
	}
	polled := 0
	for _, w := range p.sortedWorkers() {
		if w.contacted && len(w.members) == 0 && w.unansweredCalls == 0 && !w.pollInFlight {
			p.enqueuePoll(w)
			polled++
		}
	}
	p.record.LogEvent("polling idle workers", "reason", "workers unresponsive", "count", polled)
}
