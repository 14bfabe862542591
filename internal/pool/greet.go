package pool

// greetLimit bounds the workers that are asked at once. Each takes a new connection: a new
// owner of 3,000 workers that opened all at once read their answers too late, took them for
// silent, and opened connections anew.
const greetLimit = 128

// greetings are the first contacts with workers, which fence former owners there.
type greetings struct {
	waiting []*worker
	open    int
}

// greetAll asks every worker what it runs; first those that the rows name, whose leases run
// out.
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

// greet makes the first contact with a worker, in its turn.
func (p *Pool) greet(w *worker) {
	if p.loaded && !w.greeted {
		p.askSoon(w)
	}
}

// askSoon asks a worker what it runs, in its turn.
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

// greetingEnded makes room for the next greeting, whatever became of this one.
func (p *Pool) greetingEnded(w *worker) {
	if !w.greeting {
		return
	}
	w.greeting = false
	p.greetings.open--
	if !p.gone {
		p.greetNext()
	}
}
