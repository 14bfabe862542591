package progress

import (
	"context"
	"sync/atomic"
	"time"
)

// Timeouts holds the timeouts of a call. A response that keeps arriving is aborted only after
// Total, because a retry would transfer the response from the start over the same slow link.
type Timeouts struct {
	// FirstByte is the timeout for the first byte of the response.
	FirstByte time.Duration
	// Idle is the timeout for each further minProgressBytes of the response.
	Idle time.Duration
	// Total is the timeout for the entire response.
	Total time.Duration
}

// minProgressBytes is the minimum number of bytes that extends the deadline. A response that
// arrives too slowly therefore times out. A link of 10 Mbit/s transmits them in 3 ms.
const minProgressBytes = 4 << 10

// firstByteDeadlineKey is the context key of the deadline for the first byte of the response.
type firstByteDeadlineKey struct{}

// deadlineKey is the context key of the current deadline of a call, which is extended as bytes
// arrive.
type deadlineKey struct{}

// WithTimeouts returns a context that is cancelled when one of the timeouts expires. The returned
// function cancels the context and stops its timer. Bytes that a call with a derived context
// receives extend the deadline too.
func WithTimeouts(parent context.Context, timeouts Timeouts) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	start := time.Now()
	timer := time.AfterFunc(timeouts.FirstByte, func() { cancel(context.DeadlineExceeded) })
	ctx = context.WithValue(ctx, firstByteDeadlineKey{}, start.Add(timeouts.FirstByte))
	var deadline atomic.Pointer[time.Time]
	extendDeadline := func(timeout time.Duration) {
		at := time.Now().Add(timeout)
		deadline.Store(&at)
	}
	extendDeadline(timeouts.FirstByte)
	ctx = context.WithValue(ctx, deadlineKey{}, &deadline)
	var received, lastProgress atomic.Int64
	ctx = WithObserver(ctx, func(bytes int) {
		total := received.Add(int64(bytes))
		if previous := lastProgress.Load(); previous > 0 && total-previous < minProgressBytes {
			return
		}
		lastProgress.Store(total)
		timeout := min(timeouts.Idle, timeouts.Total-time.Since(start))
		extendDeadline(timeout)
		timer.Reset(timeout)
	})
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}
}

// Overdue returns the time since the deadline of a call. The time is negative before the deadline.
// The second result is false if the call has no deadline. A call that is long overdue indicates
// that this process itself was stalled.
func Overdue(ctx context.Context) (time.Duration, bool) {
	if extended, ok := ctx.Value(deadlineKey{}).(*atomic.Pointer[time.Time]); ok {
		return time.Since(*extended.Load()), true
	}
	deadline, hasDeadline := ctx.Deadline()
	return time.Since(deadline), hasDeadline
}

// FirstByteDeadline returns the deadline for the first byte of the response. The second result is
// false if the context has no deadline.
func FirstByteDeadline(ctx context.Context) (time.Time, bool) {
	firstByte, ok := ctx.Value(firstByteDeadlineKey{}).(time.Time)
	if !ok {
		return ctx.Deadline()
	}
	if deadline, hasDeadline := ctx.Deadline(); hasDeadline && deadline.Before(firstByte) {
		return deadline, true
	}
	return firstByte, true
}
