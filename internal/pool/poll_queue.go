package pool

// maxQueuedPollsInFlight bounds the queued polls in flight. Each poll may open a connection. If a
// new owner polled all workers at once, it would read the replies too late and consider the workers
// unresponsive.
const maxQueuedPollsInFlight = 128

// pollQueue is the queue of polls of workers that this owner has not contacted yet, and of polls of
// idle workers. The first contact makes a worker refuse former owners.
type pollQueue struct {
	workers  []*worker
	inFlight int
}

// contactAll queues a poll of every worker. Workers that have runs according to the rows come
// first, since the leases of these runs may expire.
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
		if w.pollInFlight || p.workers[w.ID] != w || w.Address == "" {
			continue
		}
		w.queuedPollInFlight = true
		p.pollQueue.inFlight++
		p.poll(w)
	}
}

// releasePollSlot releases the worker's slot in the poll queue, whatever the result of the poll.
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
