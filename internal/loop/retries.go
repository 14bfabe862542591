package loop

import (
	"maps"
	"slices"
	"time"
)

// Retries holds pending retries. Each retry runs after a delay or when RunPending is called. All
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

// After runs fn once, either after delay or at an earlier call of RunPending.
func (r *Retries) After(delay time.Duration, fn func()) {
	r.lastID++
	id := r.lastID
	retry := &pendingRetry{run: fn}
	retry.cancel = r.loop.After(delay, func() {
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
