package loop

import (
	"maps"
	"slices"
	"time"
)

// Retries are calls that are made again after a pause, or as soon as what they failed on
// is back. Its methods run on the loop.
type Retries struct {
	loop    Loop
	serial  int
	pending map[int]*pendingRetry
}

type pendingRetry struct {
	cancel func()
	run    func()
}

// NewRetries returns no retries.
func NewRetries(l Loop) *Retries { return &Retries{loop: l, pending: map[int]*pendingRetry{}} }

// After runs fn once, after a pause or at the next Now.
func (r *Retries) After(pause time.Duration, fn func()) {
	r.serial++
	serial := r.serial
	retry := &pendingRetry{run: fn}
	retry.cancel = r.loop.After(pause, func() {
		delete(r.pending, serial)
		fn()
	})
	r.pending[serial] = retry
}

// Now runs all that waits, in the order in which it was set.
func (r *Retries) Now() {
	for _, serial := range slices.Sorted(maps.Keys(r.pending)) {
		retry := r.pending[serial]
		delete(r.pending, serial)
		retry.cancel()
		retry.run()
	}
}
