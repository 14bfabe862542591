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

// leastProgress is how many bytes count as progress, so that an answer that only drips is
// not waited for: a link of 10 Mbit/s carries them in 3 ms.
const leastProgress = 4 << 10

type answerByKey struct{}

// endKey is of the time at which a call's patience ends, which moves as bytes arrive.
type endKey struct{}

// WithPatience returns a context for a call that ends once patience is over, and a function
// that releases it. What arrives of calls made with contexts derived from it counts too.
func WithPatience(parent context.Context, patience Patience) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	began := time.Now()
	timer := time.AfterFunc(patience.First, func() { cancel(context.DeadlineExceeded) })
	ctx = context.WithValue(ctx, answerByKey{}, began.Add(patience.First))
	var end atomic.Pointer[time.Time]
	endIn := func(left time.Duration) {
		at := time.Now().Add(left)
		end.Store(&at)
	}
	endIn(patience.First)
	ctx = context.WithValue(ctx, endKey{}, &end)
	var arrived, counted atomic.Int64
	ctx = With(ctx, func(bytes int) {
		total := arrived.Add(int64(bytes))
		if since := counted.Load(); since > 0 && total-since < leastProgress {
			return
		}
		counted.Store(total)
		left := min(patience.Pause, patience.Whole-time.Since(began))
		endIn(left)
		timer.Reset(left)
	})
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}
}

// Overdue returns how long ago a call's time has run out, negative if it has not, and false
// if the call is not bounded. A process that finds its call overdue by long was late itself.
func Overdue(ctx context.Context) (time.Duration, bool) {
	if end, ok := ctx.Value(endKey{}).(*atomic.Pointer[time.Time]); ok {
		return time.Since(*end.Load()), true
	}
	deadline, bounded := ctx.Deadline()
	return time.Since(deadline), bounded
}

// AnswerBy returns by when the answer to a call has to begin, if that is bounded.
func AnswerBy(ctx context.Context) (time.Time, bool) {
	by, ok := ctx.Value(answerByKey{}).(time.Time)
	if !ok {
		return ctx.Deadline()
	}
	if deadline, bounded := ctx.Deadline(); bounded && deadline.Before(by) {
		return deadline, true
	}
	return by, true
}
