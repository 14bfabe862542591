package pool

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/mechanism"
)

// writer persists the owner's rows, one batch at a time. Each transaction is conditional on
// the version of its partition's head row and replaces that row, so a delayed transaction has
// no effect. If a partition is unavailable, the same rows are written to the next one.
type writer struct {
	pool *Pool
	// headVersions are the versions of the head rows by partition.
	headVersions [progressPartitions]int64
	partition    int
	serial       int
	dirty        []*job
	removals     []string
	// added counts the rows ever marked dirty, and batched counts the rows ever put into a batch.
	added, batched int
	// callbacks run in the order of the list.
	callbacks []pendingCallback
	// sending is true while a batch is in flight.
	sending bool
	// dueAt is the time of the next flush; zero if nothing is pending. cancelFlush cancels the
	// scheduled flush.
	dueAt       time.Time
	cancelFlush func()
}

// endDelay is how long the result of a run may wait to share a transaction with other results.
const endDelay = 40 * time.Millisecond

func (w *writer) busy() bool { return w.sending || len(w.dirty) > 0 || len(w.removals) > 0 }

// persist writes a job's progress without delay.
func (p *Pool) persist(j *job) { p.writer.add(j, 0) }

// persistEnd writes a job's progress after the end of a run. The write may be delayed by endDelay.
func (p *Pool) persistEnd(j *job) { p.writer.add(j, p.writer.resultWriteDelay()) }

// resultWriteDelay returns how long the write of a run's result may be delayed.
func (w *writer) resultWriteDelay() time.Duration {
	if w.pool.releasing || w.pool.options.DisabledMechanisms[mechanism.CompletionBatching] {
		return 0
	}
	return endDelay
}

func (w *writer) add(j *job, delay time.Duration) {
	if !j.dirty {
		j.dirty = true
		w.dirty = append(w.dirty, j)
		w.added++
	}
	w.flushWithin(delay)
}

// afterPersist runs fn once all rows that are dirty now have been written. The write begins within
// delay.
func (p *Pool) afterPersist(delay time.Duration, fn func()) {
	if !p.writer.busy() {
		fn()
		return
	}
	p.writer.callbacks = append(p.writer.callbacks, pendingCallback{run: fn, rows: p.writer.added})
	p.writer.flushWithin(delay)
}

// remove deletes a job's progress row.
func (w *writer) remove(id string) {
	w.removals = append(w.removals, id)
	w.flushWithin(w.resultWriteDelay())
}

// flushWithin schedules a flush within delay, or once the batch in flight is written.
func (w *writer) flushWithin(delay time.Duration) {
	due := w.pool.loop.Now().Add(delay)
	if w.dueAt.IsZero() || due.Before(w.dueAt) {
		w.dueAt = due
		w.scheduleFlush()
	}
}

// scheduleFlush schedules the flush at dueAt, unless a batch is in flight.
func (w *writer) scheduleFlush() {
	if w.sending {
		return
	}
	if w.cancelFlush != nil {
		w.cancelFlush()
		w.cancelFlush = nil
	}
	delay := w.dueAt.Sub(w.pool.loop.Now())
	if delay <= 0 {
		w.sending = true
		w.pool.loop.Post(w.flush)
		return
	}
	w.cancelFlush = w.pool.loop.After(delay, func() {
		w.cancelFlush = nil
		if !w.sending {
			w.sending = true
			w.flush()
		}
	})
}

// pendingCallback is a callback that runs once the first rows counted in writer.added are written.
// rows is the number of these rows.
type pendingCallback struct {
	run  func()
	rows int
}

func (w *writer) flush() {
	if w.pool.closed {
		return
	}
	w.dueAt = time.Time{}
	if len(w.dirty) == 0 && len(w.removals) == 0 {
		w.sending = false
		w.runCallbacks(w.readyCallbacks())
		return
	}
	w.send(w.nextBatch())
}

// readyCallbacks removes and returns the callbacks all of whose rows have been put into a batch.
func (w *writer) readyCallbacks() []func() {
	var ready []func()
	for len(w.callbacks) > 0 && w.callbacks[0].rows <= w.batched {
		ready = append(ready, w.callbacks[0].run)
		w.callbacks = w.callbacks[1:]
	}
	return ready
}

func (w *writer) runCallbacks(callbacks []func()) {
	for _, fn := range callbacks {
		fn()
	}
}
