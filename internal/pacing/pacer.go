// Package pacing spreads what a process sends and asks for over time, so that what it can't foresee, such as
// the questions of others whether it lives, does not wait behind its own bursts on a small link.
package pacing

import (
	"context"
	"sync"
	"time"
)

// Pacer lets bytes pass at a rate, with some at once. Nil does not limit anything. Its methods may be called
// anywhere.
type Pacer struct {
	bytesPerSecond float64
	burst          time.Duration
	now            func() time.Time

	mutex sync.Mutex
	// free is when all that has passed so far is through at the rate.
	free time.Time
}

// New returns a pacer of a rate that lets what the rate carries in burst pass at once; nil if the rate is 0.
func New(bytesPerSecond float64, burst time.Duration, now func() time.Time) *Pacer {
	if bytesPerSecond <= 0 {
		return nil
	}
	return &Pacer{bytesPerSecond: bytesPerSecond, burst: burst, now: now}
}

// Wait waits for the turn of some bytes, or for the context's end, which it returns as an error.
func (p *Pacer) Wait(ctx context.Context, bytes int) error {
	pause := p.reserve(bytes)
	if pause <= 0 {
		return nil
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Charge counts bytes that have passed already: later ones wait for them.
func (p *Pacer) Charge(bytes int) { p.reserve(bytes) }

// reserve takes the next turn for some bytes and returns how long it is until then.
func (p *Pacer) reserve(bytes int) time.Duration {
	if p == nil {
		return 0
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := p.now()
	if p.free.Before(now) {
		p.free = now
	}
	pause := p.free.Sub(now) - p.burst
	p.free = p.free.Add(time.Duration(float64(bytes) / p.bytesPerSecond * float64(time.Second)))
	return pause
}
