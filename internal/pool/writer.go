package pool

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wheatroad/wheatroad/internal/rows"
)

// batchLimit bounds the rows of one transaction, whose limit is 100 entries, and
// batchBytes their size.
const (
	batchLimit = 80
	batchBytes = 700 << 10
)

// writer puts the owner's rows into the store, one transaction at a time. Each
// requires the head row as the one before left it and replaces it, so a
// transaction that comes late changes nothing.
type writer struct {
	pool        *Pool
	headVersion int64
	serial      int
	dirty       []*job
	removes     []rows.Key
	// after runs once everything dirty now is written.
	after []func()
	// sending is true while a transaction is under way.
	sending bool
}

func (w *writer) busy() bool { return w.sending || len(w.dirty) > 0 || len(w.removes) > 0 }

// persist writes a job's progress soon.
func (p *Pool) persist(j *job) {
	if !j.dirty {
		j.dirty = true
		p.writer.dirty = append(p.writer.dirty, j)
	}
	p.writer.flushSoon()
}

// afterWrite runs fn once all that is dirty now is written.
func (p *Pool) afterWrite(fn func()) {
	if !p.writer.busy() {
		fn()
		return
	}
	p.writer.after = append(p.writer.after, fn)
	p.writer.flushSoon()
}

func (w *writer) remove(keys ...rows.Key) {
	w.removes = append(w.removes, keys...)
	w.flushSoon()
}

func (w *writer) flushSoon() {
	if !w.sending {
		w.sending = true
		w.pool.loop.Post(w.flush)
	}
}

// batch is one transaction and what depends on it.
type batch struct {
	transaction rows.Transaction
	nonce       string
	jobs        []*job
	progress    []Progress
	after       []func()
	sentAt      time.Time
}

func (w *writer) flush() {
	if w.pool.gone {
		return
	}
	if len(w.dirty) == 0 && len(w.removes) == 0 {
		w.sending = false
		w.runAfter(w.takeAfter())
		return
	}
	w.send(w.nextBatch(), retryPause)
}

func (w *writer) takeAfter() []func() {
	after := w.after
	w.after = nil
	return after
}

func (w *writer) runAfter(after []func()) {
	for _, fn := range after {
		fn()
	}
}

func (w *writer) nextBatch() *batch {
	w.serial++
	pool := w.pool.options.Pool
	b := &batch{nonce: w.pool.options.Incarnation + "." + strconv.Itoa(w.serial), sentAt: w.pool.loop.Now()}
	b.transaction.Conditions = []rows.Condition{{Key: headKey(pool), Version: w.headVersion}}
	b.transaction.Puts = []rows.Put{{Key: headKey(pool), Value: mustEncode(head{Nonce: b.nonce})}}
	bytes := 0
	for len(w.dirty) > 0 && len(b.jobs) < batchLimit && bytes < batchBytes {
		j := w.dirty[0]
		w.dirty = w.dirty[1:]
		j.dirty = false
		progress := j.progress()
		value := mustEncode(progress)
		bytes += len(value)
		b.jobs = append(b.jobs, j)
		b.progress = append(b.progress, progress)
		b.transaction.Puts = append(b.transaction.Puts, rows.Put{Key: ProgressKey(pool, j.id), Value: value})
	}
	if len(w.dirty) == 0 {
		b.after = w.takeAfter()
		b.transaction.Removes = w.removes
		w.removes = nil
	}
	return b
}

func (w *writer) send(b *batch, pause time.Duration) {
	w.pool.ports.Commit(b.transaction, func(result rows.Result, err error) {
		switch {
		case w.pool.gone:
		case err != nil:
			w.pool.record.Count("retries", commitRetryReason(err))
			w.pool.loop.After(pause, func() { w.send(b, nextPause(pause)) })
		case result.Committed:
			w.finish(b, result.Version)
		default:
			w.conditionFailed(b, result)
		}
	})
}

func commitRetryReason(err error) string {
	if errors.Is(err, rows.ErrRefused) {
		return "commit_refused"
	}
	return "commit_no_answer"
}

// conditionFailed tells a try whose answer was lost from another owner's write.
func (w *writer) conditionFailed(b *batch, result rows.Result) {
	w.pool.storeAnsweredAt = w.pool.loop.Now()
	for i := range result.Current {
		row := &result.Current[i]
		var current head
		if row.Name == headRow && json.Unmarshal(row.Value, &current) == nil && current.Nonce == b.nonce {
			w.finish(b, row.Version)
			return
		}
	}
	w.pool.Abandon("fenced by the store")
}

func (w *writer) finish(b *batch, version int64) {
	w.headVersion = version
	w.pool.storeAnsweredAt = w.pool.loop.Now()
	w.sending = false
	for i, j := range b.jobs {
		j.state = b.progress[i].State
	}
	w.runAfter(b.after)
	if len(w.dirty) > 0 || len(w.removes) > 0 || len(w.after) > 0 {
		w.flushSoon()
	}
}
