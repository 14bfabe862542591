package pool

// MaxHeadBytes bounds a head row.
const MaxHeadBytes = maxHeadBytes

// PollNow polls a worker that has answered this owner, in addition to a poll that may be in flight.
func (p *Pool) PollNow(id string) {
	w := p.workers[id]
	if w != nil && w.contacted && !p.closed {
		p.pollNow(w)
	}
}
