package pool

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wheatroad/wheatroad/internal/mechanism"
	"github.com/wheatroad/wheatroad/internal/rows"
)

// batchLimit bounds the rows of one transaction, whose limit is 100 entries, and
// batchBytes their size, whose limit is 1 MB with its encoding.
const (
	batchLimit = 80
	batchBytes = 700 << 10
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

// batch is a set of rows that is written at once, and what depends on it.
type batch struct {
	serial   int
	jobs     []*job
	progress []Progress
	values   [][]byte
	removes  []string
	after    []func()
	// left is true if rows were left for the next batch: they have waited long enough.
	left   bool
	sentAt time.Time
	// failures counts tries without success, and open those without an answer yet.
	failures int
	open     int
	// written is true once a try has taken effect.
	written bool
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

func (w *writer) nextBatch() *batch {
	w.serial++
	b := &batch{serial: w.serial, sentAt: w.pool.loop.Now()}
	bytes := 0
	for len(w.dirty) > 0 && len(b.jobs) < batchLimit {
		j := w.dirty[0]
		progress := j.progress()
		progress.Token, progress.Serial = w.pool.token, b.serial
		value := mustEncode(progress)
		bytes += len(value)
		if bytes > batchBytes && len(b.jobs) > 0 {
			break
		}
		w.dirty = w.dirty[1:]
		w.taken++
		j.dirty = false
		b.jobs = append(b.jobs, j)
		b.progress = append(b.progress, progress)
		b.values = append(b.values, value)
	}
	b.left = len(w.dirty) > 0
	b.after = w.takeAfter()
	if !b.left {
		count := min(len(w.removes), batchLimit-len(b.jobs))
		b.removes, w.removes = w.removes[:count], w.removes[count:]
	}
	return b
}

// transaction renders a batch for a part.
func (w *writer) transaction(b *batch, part int) rows.Transaction {
	name := progressPart(w.pool.options.Pool, part)
	transaction := rows.Transaction{
		Conditions: []rows.Condition{{Key: headKey(name), Version: w.headVersions[part]}},
		Puts:       []rows.Put{{Key: headKey(name), Value: w.pool.head(strconv.Itoa(b.serial))}},
	}
	if w.pool.options.Without.HeadCondition {
		transaction.Conditions = nil
	}
	for i, j := range b.jobs {
		transaction.Puts = append(transaction.Puts, rows.Put{Key: progressKey(name, j.id), Value: b.values[i]})
	}
	for _, id := range b.removes {
		transaction.Removes = append(transaction.Removes, progressKey(name, id))
	}
	return transaction
}

// head renders this owner's head row.
func (p *Pool) head(nonce string) []byte {
	return mustEncode(head{Token: p.token, Nonce: p.options.Incarnation + "." + nonce, Durations: p.durations})
}

// partPatience is how long a part of the store may go without an answer before the batch
// is sent to the next one as well, on top of what it takes to send. A store that is fifty
// times slower answers in 0.5 s.
const partPatience = 600 * time.Millisecond

func (w *writer) send(b *batch) {
	part := w.part
	answered := false
	b.open++
	transaction := w.transaction(b, part)
	sentAt := w.pool.loop.Now()
	w.pool.ports.Commit(transaction, func(result rows.Result, err error) {
		answered = true
		b.open--
		switch {
		case w.pool.gone:
		case err != nil:
			w.retry(b, err)
		case result.Committed:
			w.headVersions[part] = max(w.headVersions[part], result.Version)
			w.pool.Confirm(sentAt)
			w.finish(b)
		default:
			w.conditionFailed(b, part, result)
		}
	})
	w.pool.loop.After(partPatience+rows.SendTime(transaction), func() {
		if !w.pool.gone && !answered && !b.written && b.open < progressParts {
			w.pool.record.Count("retries", "commit_slow")
			w.part = (part + 1) % progressParts
			w.send(b)
		}
	})
}

// retry sends a batch again, to the next part. Its rows are the same there, so it
// does not matter which of the tries take effect.
func (w *writer) retry(b *batch, err error) {
	w.pool.record.Count("retries", commitRetryReason(err))
	b.failures++
	if b.written || b.open > 0 {
		return
	}
	w.part = (w.part + 1) % progressParts
	if b.failures%progressParts != 0 {
		w.send(b)
		return
	}
	pause := retryPause
	for range min(b.failures/progressParts, retryDoublings) {
		pause = nextPause(pause)
	}
	w.pool.storeRetries.After(pause, func() {
		if !w.pool.gone {
			w.send(b)
		}
	})
}

// retryDoublings bounds how often the pause between tries doubles.
const retryDoublings = 4

func commitRetryReason(err error) string {
	if errors.Is(err, rows.ErrRefused) {
		return "commit_refused"
	}
	return "commit_no_answer"
}

// conditionFailed tells an own try whose answer was lost from another owner's write.
func (w *writer) conditionFailed(b *batch, part int, result rows.Result) {
	w.pool.noteStore()
	for i := range result.Current {
		row := &result.Current[i]
		var current head
		if row.Name != headRow || json.Unmarshal(row.Value, &current) != nil || current.Token != w.pool.token {
			continue
		}
		w.headVersions[part] = max(w.headVersions[part], row.Version)
		if current.Nonce == w.pool.options.Incarnation+"."+strconv.Itoa(b.serial) {
			w.finish(b)
			return
		}
		if !b.written {
			w.send(b)
		}
		return
	}
	w.pool.Abandon("fenced by the store")
}

func (w *writer) finish(b *batch) {
	if b.written {
		return
	}
	b.written = true
	w.pool.noteStore()
	w.pool.record.Observe("store_commit", w.pool.storeAnsweredAt.Sub(b.sentAt))
	w.sending = false
	for i, j := range b.jobs {
		j.state = b.progress[i].State
	}
	w.runAfter(b.after)
	waiting := len(w.dirty) > 0 || len(w.removes) > 0 || len(w.after) > 0
	if b.left || waiting && w.dueAt.IsZero() {
		w.dueAt = w.pool.loop.Now()
	}
	if !w.dueAt.IsZero() {
		w.arm()
	}
}
