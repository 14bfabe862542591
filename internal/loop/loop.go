package loop

import (
	"context"
	"sync"
	"time"

	"github.com/wheatroad/wheatroad/internal/uptime"
)

// Loop runs functions one at a time, in the order in which they were posted.
type Loop interface {
	// Now returns the time of a clock for measuring durations. The clock is never set and includes
	// the time during which the machine is suspended.
	Now() time.Time
	// TimeOfDay returns the wall-clock time, for timestamps exchanged with other machines.
	TimeOfDay() time.Time
	// Post schedules fn. It never blocks and may be called from any goroutine.
	Post(fn func())
	// After runs fn once after d unless cancel is called first.
	After(d time.Duration, fn func()) (cancel func())
}

// Goroutine is a Loop that runs functions on the goroutine that calls Run.
type Goroutine struct {
	mutex  sync.Mutex
	queue  []func()
	wake   chan struct{}
	closed bool
}

// NewGoroutine returns a loop that runs functions once Run is called.
func NewGoroutine() *Goroutine {
	return &Goroutine{wake: make(chan struct{}, 1)}
}

// Run runs posted functions until ctx ends.
func (g *Goroutine) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			g.close()
			return
		case <-g.wake:
		}
		for _, fn := range g.takeQueue() {
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

func (g *Goroutine) takeQueue() []func() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	batch := g.queue
	g.queue = nil
	return batch
}

// Now implements Loop.
func (g *Goroutine) Now() time.Time { return uptime.Now() }

// TimeOfDay implements Loop.
func (g *Goroutine) TimeOfDay() time.Time { return time.Now() }

// Post implements Loop. Functions posted after Run has returned are dropped.
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

// After implements Loop.
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

// Call runs fn on the loop and waits until it returns or ctx ends.
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
