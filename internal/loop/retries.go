package loop

import (
	"maps"
	"slices"
	"time"
)

// Retries holds pending retries, each of which runs after a delay or when Now is called. Its
// methods must be called on the loop.
type Retries struct {
	loop    Loop
	lastID  int
	pending map[int]*pendingRetry
}

type pendingRetry struct {
	cancel func()
	run    func()
}

// NewRetries returns Retries without pending entries.
func NewRetries(l Loop) *Retries { return &Retries{loop: l, pending: map[int]*pendingRetry{}} }

// After runs fn once, after pause or at the next call of Now.
func (r *Retries) After(pause time.Duration, fn func()) {
	r.lastID++
	id := r.lastID
	retry := &pendingRetry{run: fn}
	retry.cancel = r.loop.After(pause, func() {
		delete(r.pending, id)
		fn()
	})
	r.pending[id] = retry
}

// RunPending runs all pending retries in the order in which they were added.
func (r *Retries) RunPending() {
	for _, id := range slices.Sorted(maps.Keys(r.pending)) {
		retry := r.pending[id]
		delete(r.pending, id)
		retry.cancel()
		retry.run()
	}
}
