// Package ratelimit limits the bandwidth that a process uses. Without a limit, bursts would delay
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
	// availableAt is the time at which all reserved bytes will have passed at bytesPerSecond.
	availableAt time.Time
}

// New returns a Limiter with the rate bytesPerSecond. A burst may contain as many bytes as that
// rate transfers in the duration burst. New returns nil if the rate is not positive.
func New(bytesPerSecond float64, burst time.Duration, now func() time.Time) *Limiter {
	if bytesPerSecond <= 0 {
		return nil
	}
	return &Limiter{bytesPerSecond: bytesPerSecond, burst: burst, now: now}
}

// Wait reserves bytes and blocks until they may pass. If ctx ends first, Wait returns the error of
// ctx.
func (l *Limiter) Wait(ctx context.Context, bytes int) error {
	delay := l.reserve(bytes)
	if delay <= 0 {
		return nil
	}
	timer := time.NewTimer(delay)
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
func (l *Limiter) Charge(bytes int) { l.reserve(bytes) }

// reserve reserves bytes and returns the delay until they may pass.
func (l *Limiter) reserve(bytes int) time.Duration {
	if l == nil {
		return 0
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.now()
	if l.availableAt.Before(now) {
		l.availableAt = now
	}
	delay := l.availableAt.Sub(now) - l.burst
	l.availableAt = l.availableAt.Add(time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second)))
	return delay
}
