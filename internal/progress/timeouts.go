package progress

import (
	"context"
	"sync/atomic"
	"time"
)

// Timeouts holds the timeouts of a call. A response that keeps arriving is not aborted, because a
// retry would have to transfer it from the start over the same slow link.
type Timeouts struct {
	// FirstByte is the timeout for the first byte of the response.
	FirstByte time.Duration
	// Idle is the timeout for each further minProgressBytes of it.
	Idle time.Duration
	// Total is the timeout for the entire response.
	Total time.Duration
}

// minProgressBytes is how many bytes count as progress, so that a response that only trickles in
// times out; a link of 10 Mbit/s transfers them in 3 ms.
const minProgressBytes = 4 << 10

type firstByteDeadlineKey struct{}

// deadlineKey holds the current deadline of a call, which moves as bytes arrive.
type deadlineKey struct{}

// WithTimeouts returns a context that is cancelled when one of the timeouts expires, and a
// function that releases it. Bytes received by calls with derived contexts count as progress too.
func WithTimeouts(parent context.Context, limits Timeouts) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	start := time.Now()
	timer := time.AfterFunc(limits.FirstByte, func() { cancel(context.DeadlineExceeded) })
	ctx = context.WithValue(ctx, firstByteDeadlineKey{}, start.Add(limits.FirstByte))
	var deadline atomic.Pointer[time.Time]
	extendDeadline := func(timeout time.Duration) {
		at := time.Now().Add(timeout)
		deadline.Store(&at)
	}
	extendDeadline(limits.FirstByte)
	ctx = context.WithValue(ctx, deadlineKey{}, &deadline)
	var received, lastProgress atomic.Int64
	ctx = WithObserver(ctx, func(bytes int) {
		total := received.Add(int64(bytes))
		if previous := lastProgress.Load(); previous > 0 && total-previous < minProgressBytes {
			return
		}
		lastProgress.Store(total)
		timeout := min(limits.Idle, limits.Total-time.Since(start))
		extendDeadline(timeout)
		timer.Reset(timeout)
	})
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}
}

// Overdue returns the time since a call's deadline, negative before it, and false if the call has
// none. A long overdue call indicates that this process itself was stalled.
func Overdue(ctx context.Context) (time.Duration, bool) {
	if moving, ok := ctx.Value(deadlineKey{}).(*atomic.Pointer[time.Time]); ok {
		return time.Since(*moving.Load()), true
	}
	deadline, bounded := ctx.Deadline()
	return time.Since(deadline), bounded
}

// FirstByteDeadline returns the deadline for the first byte of the response, if there is one.
func FirstByteDeadline(ctx context.Context) (time.Time, bool) {
	firstByte, ok := ctx.Value(firstByteDeadlineKey{}).(time.Time)
	if !ok {
		return ctx.Deadline()
	}
	if deadline, bounded := ctx.Deadline(); bounded && deadline.Before(firstByte) {
		return deadline, true
	}
	return firstByte, true
}
