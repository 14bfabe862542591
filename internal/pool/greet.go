package pool

// greetLimit bounds the queued polls in flight. Each may open a connection; a new owner that polls
// thousands of workers at once reads the answers too late and takes the workers for unresponsive.
const greetLimit = 128

// greetings is the queue of first contacts with workers, which fence former owners there, and of
// polls of idle workers.
type greetings struct {
	waiting []*worker
	open    int
}

// greetAll polls every worker, first those that have runs according to the rows, since their leases
// are running.
func (p *Pool) greetAll() {
	for _, w := range p.sortedWorkers() {
		if len(w.members) > 0 {
			p.greet(w)
		}
	}
	for _, w := range p.sortedWorkers() {
		p.greet(w)
	}
}

// greet queues the first contact with a worker.
func (p *Pool) greet(w *worker) {
	if p.loaded && !w.greeted {
		p.askSoon(w)
	}
}

// askSoon queues a poll of a worker.
func (p *Pool) askSoon(w *worker) {
	if w.toGreet || w.Address == "" {
		return
	}
	w.toGreet = true
	p.greetings.waiting = append(p.greetings.waiting, w)
	p.greetNext()
}

func (p *Pool) greetNext() {
	for p.greetings.open < greetLimit && len(p.greetings.waiting) > 0 {
		w := p.greetings.waiting[0]
		p.greetings.waiting = p.greetings.waiting[1:]
		w.toGreet = false
		if w.holding || p.workers[w.ID] != w {
			continue
		}
		w.greeting = true
		p.greetings.open++
		p.hold(w)
	}
}

// greetingEnded frees the slot of a queued poll, whatever its result.
func (p *Pool) greetingEnded(w *worker) {
	if !w.greeting {
		return
	}
	w.greeting = false
	p.greetings.open--
	if !p.closed {
		p.greetNext()
	}
}
