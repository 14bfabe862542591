package pool

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/mechanism"
)

// writer puts the owner's rows into the store, one transaction at a time. Each
// requires the head row of its part as the one before left it and replaces it, so a
// transaction that comes late changes nothing. Where a part of the store is away,
// the same rows go into the next one.
type writer struct {
	pool *Pool
	// headVersions are the versions of the parts' head rows.
	headVersions [progressParts]int64
	part         int
	serial       int
	dirty        []*job
	removes      []string
	// added and taken count the rows that were ever dirty, and those of them that went into
	// a batch.
	added, taken int
	// after are run in their order.
	after []pendingFunc
	// sending is true while a transaction is under way.
	sending bool
	// dueAt is when the next transaction is to be sent; zero if nothing waits. Timer
	// calls off the flush that is set for then.
	dueAt time.Time
	timer func()
}

// endDelay is how long the row of an ended run may wait, so that one transaction takes
// in several ends. The platform counts an end as noted 100 ms after it was listed.
const endDelay = 40 * time.Millisecond

func (w *writer) busy() bool { return w.sending || len(w.dirty) > 0 || len(w.removes) > 0 }

// persist writes a job's progress at once.
func (p *Pool) persist(j *job) { p.writer.add(j, 0) }

// persistEnd writes a job's progress after an end that nobody waits for.
func (p *Pool) persistEnd(j *job) { p.writer.add(j, p.writer.delayOfEnds()) }

// delayOfEnds is how long ends may wait to be written.
func (w *writer) delayOfEnds() time.Duration {
	if w.pool.releasing || w.pool.options.Off[mechanism.EndDelay] {
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

// afterWrite runs fn once all that is dirty now is written, which begins after delay
// at the latest.
func (p *Pool) afterWrite(delay time.Duration, fn func()) {
	if !p.writer.busy() {
		fn()
		return
	}
	p.writer.after = append(p.writer.after, pendingFunc{run: fn, rows: p.writer.added})
	p.writer.flushWithin(delay)
}

// remove drops a job's progress.
func (w *writer) remove(id string) {
	w.removes = append(w.removes, id)
	w.flushWithin(w.delayOfEnds())
}

// flushWithin sends what waits after delay at the latest, or as soon as the transaction
// that is under way has ended.
func (w *writer) flushWithin(delay time.Duration) {
	due := w.pool.loop.Now().Add(delay)
	if w.dueAt.IsZero() || due.Before(w.dueAt) {
		w.dueAt = due
		w.arm()
	}
}

// arm sets the flush for when it is due, unless a transaction is under way.
func (w *writer) arm() {
	if w.sending {
		return
	}
	if w.timer != nil {
		w.timer()
		w.timer = nil
	}
	delay := w.dueAt.Sub(w.pool.loop.Now())
	if delay <= 0 {
		w.sending = true
		w.pool.loop.Post(w.flush)
		return
	}
	w.timer = w.pool.loop.After(delay, func() {
		w.timer = nil
		if !w.sending {
			w.sending = true
			w.flush()
		}
	})
}

// pendingFunc is run once as many rows as were ever dirty when it was set are written.
type pendingFunc struct {
	run  func()
	rows int
}

func (w *writer) flush() {
	if w.pool.gone {
		return
	}
	w.dueAt = time.Time{}
	if len(w.dirty) == 0 && len(w.removes) == 0 {
		w.sending = false
		w.runAfter(w.takeAfter())
		return
	}
	w.send(w.nextBatch())
}

// takeAfter returns the functions that need wait for no row beyond those taken so far.
func (w *writer) takeAfter() []func() {
	var ready []func()
	for len(w.after) > 0 && w.after[0].rows <= w.taken {
		ready = append(ready, w.after[0].run)
		w.after = w.after[1:]
	}
	return ready
}

func (w *writer) runAfter(after []func()) {
	for _, fn := range after {
		fn()
	}
}
