package loop

import (
	"context"
	"sync"
	"time"

	"github.com/wheatroad/wheatroad/internal/uptime"
)

// Loop runs functions one at a time, in the order in which they were posted.
type Loop interface {
	// Now returns the time of a clock that never stands still or is set, for ages and waits.
	Now() time.Time
	// TimeOfDay returns the time of day, for what other machines are told or say.
	TimeOfDay() time.Time
	// Post runs fn soon. It never blocks and may be called from any goroutine.
	Post(fn func())
	// After runs fn once after d, unless the returned function was called before.
	After(d time.Duration, fn func()) (cancel func())
}

// Goroutine is a Loop on a goroutine of its own.
type Goroutine struct {
	mutex  sync.Mutex
	queue  []func()
	wake   chan struct{}
	closed bool
}

// NewGoroutine returns a loop that runs nothing until Run is called.
func NewGoroutine() *Goroutine {
	return &Goroutine{wake: make(chan struct{}, 1)}
}

// Run runs posted functions until the context ends.
func (g *Goroutine) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			g.close()
			return
		case <-g.wake:
		}
		for _, fn := range g.take() {
			fn()
		}
	}
}

func (g *Goroutine) close() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.closed = true
	g.queue = nil
}

func (g *Goroutine) take() []func() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	batch := g.queue
	g.queue = nil
	return batch
}

// Now returns the time with suspensions of the machine counted.
func (g *Goroutine) Now() time.Time { return uptime.Now() }

// TimeOfDay returns the wall clock's time.
func (g *Goroutine) TimeOfDay() time.Time { return time.Now() }

// Post queues fn. Functions posted after the end of Run are dropped.
func (g *Goroutine) Post(fn func()) {
	g.mutex.Lock()
	if !g.closed {
		g.queue = append(g.queue, fn)
	}
	g.mutex.Unlock()
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// After posts fn once d has passed.
func (g *Goroutine) After(d time.Duration, fn func()) (cancel func()) {
	cancelled := false
	timer := time.AfterFunc(d, func() {
		g.Post(func() {
			if !cancelled {
				fn()
			}
		})
	})
	return func() {
		cancelled = true
		timer.Stop()
	}
}

// Call runs fn on the loop and waits for it, or for the context's end.
func Call(ctx context.Context, l Loop, fn func()) error {
	done := make(chan struct{})
	l.Post(func() {
		fn()
		close(done)
	})
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
