package pool

import "time"

// Workers that run nothing are not asked how they are. When many fall silent at once, as with a rack, a
// switch or a zone, the idle ones among them are found out only by the gangs that are placed there, one
// after another: each waits for its silent member, and then begins anew with the next. So all idle workers
// are asked once when that happens, and once more each silencePause while it goes on.

const (
	// silenceLeast is how many workers have to fall silent within silenceWindow.
	silenceLeast  = 3
	silenceWindow = time.Second
	silencePause  = 2 * time.Second
)

// silences are the times at which workers last fell silent, the latest of silenceLeast.
type silences struct {
	times   [silenceLeast]time.Time
	next    int
	askedAt time.Time
}

// note takes in that a worker fell silent. It returns true if all idle ones are to be asked.
func (s *silences) note(now time.Time) bool {
	s.times[s.next] = now
	s.next = (s.next + 1) % silenceLeast
	// The next one to be replaced is the earliest.
	if now.Sub(s.times[s.next]) > silenceWindow || now.Sub(s.askedAt) < silencePause {
		return false
	}
	s.askedAt = now
	return true
}

// noteSilence asks all idle workers how they are if many fall silent at once.
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
