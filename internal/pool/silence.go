package pool

import "time"

// Idle workers are not polled. When many workers stop responding at once, such as all those of a
// rack, a switch or a zone, the idle ones among them would be detected only when a gang is placed
// there and fails to start. So all idle workers are polled when that happens, at most once per
// silencePause.

const (
	// silenceLeast is how many workers have to stop responding within silenceWindow.
	silenceLeast  = 3
	silenceWindow = time.Second
	silencePause  = 2 * time.Second
)

// silences holds the latest silenceLeast times at which a worker stopped responding.
type silences struct {
	times   [silenceLeast]time.Time
	next    int
	askedAt time.Time
}

// note records that a worker stopped responding. It returns true if all idle workers should be
// polled.
func (s *silences) note(now time.Time) bool {
	s.times[s.next] = now
	s.next = (s.next + 1) % silenceLeast
	// The next slot to be overwritten holds the earliest time.
	if now.Sub(s.times[s.next]) > silenceWindow || now.Sub(s.askedAt) < silencePause {
		return false
	}
	s.askedAt = now
	return true
}

// noteSilence polls all idle workers if many workers have stopped responding at once.
func (p *Pool) noteSilence() {
	if !p.loaded || !p.silences.note(p.loop.Now()) {
		return
	}
	asked := 0
	for _, w := range p.sortedWorkers() {
		if w.greeted && len(w.members) == 0 && w.unanswered == 0 && !w.holding {
			p.askSoon(w)
			asked++
		}
	}
	p.record.Decided("idle workers asked", "reason", "others fell silent", "count", asked)
}
