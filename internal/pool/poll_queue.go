package pool

// maxQueuedPollsInFlight bounds the queued polls in flight. Each may open a connection; a new owner
// that polls thousands of workers at once reads the replies too late and takes the workers for
// unresponsive.
const maxQueuedPollsInFlight = 128

// pollQueue is the queue of first contacts with workers, which fence former owners there, and of
// polls of idle workers.
type pollQueue struct {
	workers  []*worker
	inFlight int
}

// contactAll polls every worker, first those that have runs according to the rows, since their
// leases are running.
func (p *Pool) contactAll() {
	for _, w := range p.sortedWorkers() {
		if len(w.members) > 0 {
			p.enqueueFirstContact(w)
		}
	}
	for _, w := range p.sortedWorkers() {
		p.enqueueFirstContact(w)
	}
}

// enqueueFirstContact queues a poll of a worker that has not answered this owner yet.
func (p *Pool) enqueueFirstContact(w *worker) {
	if p.loaded && !w.contacted {
		p.enqueuePoll(w)
	}
}

func (p *Pool) enqueuePoll(w *worker) {
	if w.pollQueued || w.Address == "" {
		return
	}
	w.pollQueued = true
	p.pollQueue.workers = append(p.pollQueue.workers, w)
	p.sendQueuedPolls()
}

func (p *Pool) sendQueuedPolls() {
	for p.pollQueue.inFlight < maxQueuedPollsInFlight && len(p.pollQueue.workers) > 0 {
		w := p.pollQueue.workers[0]
		p.pollQueue.workers = p.pollQueue.workers[1:]
		w.pollQueued = false
		if w.pollInFlight || p.workers[w.ID] != w {
			continue
		}
		w.queuedPollInFlight = true
		p.pollQueue.inFlight++
		p.poll(w)
	}
}

// releasePollSlot frees the slot of a queued poll, whatever its result.
func (p *Pool) releasePollSlot(w *worker) {
	if !w.queuedPollInFlight {
		return
	}
	w.queuedPollInFlight = false
	p.pollQueue.inFlight--
	if !p.closed {
		p.sendQueuedPolls()
	}
}
