// Package ratelimit limits the bandwidth that a process uses, so that its bursts do not delay
// urgent messages, such as health checks, on a slow link.
package ratelimit

import (
	"context"
	"sync"
	"time"
)

// Limiter is a rate limiter for bytes that permits bursts. A nil Limiter does not limit. It is safe
// for concurrent use.
type Limiter struct {
	bytesPerSecond float64
	burst          time.Duration
	now            func() time.Time

	mutex sync.Mutex
	// availableAt is when all reserved bytes have passed at the configured rate.
	availableAt time.Time
}

// New returns a Limiter that permits bursts of as many bytes as the rate transfers in burst. It
// returns nil if the rate is not positive.
func New(bytesPerSecond float64, burst time.Duration, now func() time.Time) *Limiter {
	if bytesPerSecond <= 0 {
		return nil
	}
	return &Limiter{bytesPerSecond: bytesPerSecond, burst: burst, now: now}
}

// Wait reserves bytes and blocks until they may pass. If ctx ends first, it returns the context's
// error.
func (p *Limiter) Wait(ctx context.Context, bytes int) error {
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

// Charge reserves bytes without waiting, for data already transferred. Later calls of Wait are
// delayed accordingly.
func (p *Limiter) Charge(bytes int) { p.reserve(bytes) }

// reserve reserves bytes and returns the delay until they may pass.
func (p *Limiter) reserve(bytes int) time.Duration {
	if p == nil {
		return 0
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := p.now()
	if p.availableAt.Before(now) {
		p.availableAt = now
	}
	pause := p.availableAt.Sub(now) - p.burst
	p.availableAt = p.availableAt.Add(time.Duration(float64(bytes) / p.bytesPerSecond * float64(time.Second)))
	return pause
}
