package progress

import (
	"context"
	"sync/atomic"
	"time"
)

// Patience bounds a call. An answer that keeps arriving is worth waiting for: given up, it
// would have to be sent again from its start, over a link that was too slow for it.
type Patience struct {
	// First is how long the beginning of the answer may take.
	First time.Duration
	// Pause is how long the answer may then take for each further leastProgress.
	Pause time.Duration
	// Whole is how long all of it may take.
	Whole time.Duration
}

// minProgressBytes is how many bytes count as progress, so that an answer that only drips is
// not waited for: a link of 10 Mbit/s carries them in 3 ms.
const minProgressBytes = 4 << 10

type firstByteDeadlineKey struct{}

// deadlineKey is of the time at which a call's patience ends, which moves as bytes arrive.
type deadlineKey struct{}

// WithPatience returns a context for a call that ends once patience is over, and a function
// that releases it. What arrives of calls made with contexts derived from it counts too.
func WithPatience(parent context.Context, limits Patience) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	start := time.Now()
	timer := time.AfterFunc(limits.First, func() { cancel(context.DeadlineExceeded) })
	ctx = context.WithValue(ctx, firstByteDeadlineKey{}, start.Add(limits.First))
	var deadline atomic.Pointer[time.Time]
	extendDeadline := func(timeout time.Duration) {
		at := time.Now().Add(timeout)
		deadline.Store(&at)
	}
	extendDeadline(limits.First)
	ctx = context.WithValue(ctx, deadlineKey{}, &deadline)
	var received, lastProgress atomic.Int64
	ctx = With(ctx, func(bytes int) {
		total := received.Add(int64(bytes))
		if previous := lastProgress.Load(); previous > 0 && total-previous < minProgressBytes {
			return
		}
		lastProgress.Store(total)
		timeout := min(limits.Pause, limits.Whole-time.Since(start))
		extendDeadline(timeout)
		timer.Reset(timeout)
	})
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}
}

// Overdue returns how long ago a call's time has run out, negative if it has not, and false
// if the call is not bounded. A process that finds its call overdue by long was late itself.
func Overdue(ctx context.Context) (time.Duration, bool) {
	if moving, ok := ctx.Value(deadlineKey{}).(*atomic.Pointer[time.Time]); ok {
		return time.Since(*moving.Load()), true
	}
	deadline, bounded := ctx.Deadline()
	return time.Since(deadline), bounded
}

// AnswerBy returns by when the answer to a call has to begin, if that is bounded.
func AnswerBy(ctx context.Context) (time.Time, bool) {
	firstByte, ok := ctx.Value(firstByteDeadlineKey{}).(time.Time)
	if !ok {
		return ctx.Deadline()
	}
	if deadline, bounded := ctx.Deadline(); bounded && deadline.Before(firstByte) {
		return deadline, true
	}
	return firstByte, true
}
