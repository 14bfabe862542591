package emulator

import (
	"container/heap"
	"time"
)

// Clock is virtual time with the events that lie ahead. Events at the same time
// run in the order in which they were added.
type Clock struct {
	now    time.Time
	events eventHeap
	serial int64
}

type event struct {
	at     time.Time
	serial int64
	run    func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].serial < h[j].serial
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}

// NewClock returns a clock that stands at start.
func NewClock(start time.Time) *Clock { return &Clock{now: start} }

// Now returns the virtual time.
func (c *Clock) Now() time.Time { return c.now }

// At runs fn at a time, or now if that has passed.
func (c *Clock) At(at time.Time, fn func()) {
	if at.Before(c.now) {
		at = c.now
	}
	c.serial++
	heap.Push(&c.events, event{at: at, serial: c.serial, run: fn})
}

// After runs fn after d.
func (c *Clock) After(d time.Duration, fn func()) { c.At(c.now.Add(d), fn) }

// Run runs all events until a time and leaves the clock there.
func (c *Clock) Run(until time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(until) {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.run()
	}
	c.now = until
}

// Process is a loop.Loop in virtual time that can be killed and frozen.
type Process struct {
	clock       *Clock
	dead        bool
	frozenUntil time.Time
	// suspensions are the times in which the steady clock stood still.
	suspensions []suspension
	// SteadyTime lets Now leave out suspensions, like the system's steady clock.
	SteadyTime bool
	// measure, when set, adds up the processor time of what runs here.
	measure bool
	spent   time.Duration
}

// suspension is a time in which a process's machine was suspended.
type suspension struct{ from, to time.Time }

// Now returns the virtual time, with suspensions counted unless SteadyTime is set.
func (p *Process) Now() time.Time {
	if p.SteadyTime {
		return p.steadyNow()
	}
	return p.clock.now
}

// TimeOfDay returns the virtual time.
func (p *Process) TimeOfDay() time.Time { return p.clock.now }

// steadyNow is the steady clock, by which timers run.
func (p *Process) steadyNow() time.Time {
	now := p.clock.now
	for _, s := range p.suspensions {
		now = now.Add(-s.overlapTo(p.clock.now))
	}
	return now
}

// overlapTo is how much of the suspension lies before a time.
func (s suspension) overlapTo(at time.Time) time.Duration {
	if at.After(s.to) {
		at = s.to
	}
	return max(0, at.Sub(s.from))
}

// Post runs fn at the present instant, or once the process thaws.
func (p *Process) Post(fn func()) { p.clock.After(0, func() { p.run(fn) }) }

// After runs fn after d, or once the process thaws.
func (p *Process) After(d time.Duration, fn func()) (cancel func()) {
	cancelled := false
	due := p.steadyNow().Add(d)
	var fire func()
	fire = func() {
		switch left := due.Sub(p.steadyNow()); {
		case cancelled:
		case left > 0:
			// The steady clock has stood still meanwhile.
			p.clock.After(left, func() { p.run(fire) })
		default:
			fn()
		}
	}
	p.clock.After(d, func() { p.run(fire) })
	return func() { cancelled = true }
}

func (p *Process) run(fn func()) {
	switch {
	case p.dead:
	case p.clock.now.Before(p.frozenUntil):
		p.clock.At(p.frozenUntil, func() { p.run(fn) })
	case p.measure:
		began := time.Now()
		fn()
		p.spent += time.Since(began)
	default:
		fn()
	}
}

// NewProcess returns a process that runs on a clock.
func NewProcess(clock *Clock) *Process { return &Process{clock: clock} }

// PausedUntil is when the process last went on after it stood still.
func (p *Process) PausedUntil() time.Time { return p.frozenUntil }

// Kill ends the process at once.
func (p *Process) Kill() { p.dead = true }

// Freeze lets the process stand still until a time.
func (p *Process) Freeze(until time.Time) { p.frozenUntil = until }

// Suspend lets the process and its steady clock stand still until a time.
func (p *Process) Suspend(until time.Time) {
	p.frozenUntil = until
	p.suspensions = append(p.suspensions, suspension{from: p.clock.now, to: until})
}
