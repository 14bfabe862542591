package pool

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/mechanism"
	"github.com/wheatroad/wheatroad/internal/writequeue"
)

// writer persists the owner's rows in batches. The queue decides which rows are sent and when. Each
// transaction is conditional on the version of its partition's head row and replaces that row, so a
// delayed transaction has no effect. If a partition is unavailable, the same rows are written to
// another one. While the store is slow, several batches may be in flight.
type writer struct {
	pool *Pool
	// headVersions are the versions of the head rows by partition.
	headVersions [progressPartitions]int64
	partition    int
	serial       int
	queue        *writequeue.Queue[*job]
	latency      writequeue.Latency
	// storeSlow is true while the store is slow, since slowSince.
	storeSlow bool
	slowSince time.Time
	// cancelCalmCheck cancels the scheduled check whether the store is fast again; nil if none is.
	cancelCalmCheck func()
	// attempts is the number of attempts without a response by partition.
	attempts [progressPartitions]int
	// failedAt is when an attempt last failed by partition; zero since the last response.
	failedAt [progressPartitions]time.Time
	// callbacks run in the order of the list if several are ready.
	callbacks []pendingCallback
	// flushPosted is true while a flush is posted to the loop.
	flushPosted bool
	rejections  rejections
	// oversized are the rows that the last batch left out for their size.
	oversized []oversizedRow
	// largestRow is the size of the largest row that this owner has encoded, in bytes.
	largestRow int
	// cancelFlush cancels the scheduled flush; nil if none is.
	cancelFlush func()
}

func newWriter(p *Pool) writer {
	queue := writequeue.New[*job](progressPartitions)
	queue.RowsInSeveralBatches = p.options.DisabledSafeguards.RowInOneBatch
	return writer{pool: p, queue: queue, rejections: newRejections()}
}

// endDelay is how long the result of a run may wait to share a transaction with other results.
const endDelay = 40 * time.Millisecond

func (w *writer) busy() bool { return w.flushPosted || w.queue.Batches() > 0 || w.queue.Waiting() }

// conditions returns the circumstances of the queue's decisions.
func (w *writer) conditions() writequeue.Conditions {
	return writequeue.Conditions{Now: w.pool.loop.Now(), StoreSlow: w.storeSlow, Releasing: w.pool.releasing}
}

// persistPlacement writes the placement of one of a job's units without delay. The unit's start
// waits for the write.
func (p *Pool) persistPlacement(j *job) {
	p.writer.add(j, writequeue.PlacementOf(j.Queue.Priority), 0)
}

// persist writes a job's progress without delay.
func (p *Pool) persist(j *job) { p.writer.add(j, writequeue.End, 0) }

// persistEnd writes a job's progress after the end of a run. The write may be delayed by endDelay.
func (p *Pool) persistEnd(j *job) { p.writer.add(j, writequeue.End, p.writer.resultWriteDelay()) }

// resultWriteDelay returns how long the write of a run's result may be delayed.
func (w *writer) resultWriteDelay() time.Duration {
	if w.pool.releasing || w.pool.options.DisabledMechanisms[mechanism.CompletionBatching] {
		return 0
	}
	return endDelay
}

func (w *writer) add(j *job, purpose writequeue.Purpose, delay time.Duration) {
	if w.storeSlow && purpose == writequeue.Note {
		w.pool.record.Count("writes_put_off", purpose.String())
	}
	row := writequeue.Row[*job]{ID: j.id, Value: j, Purpose: purpose, ChangedAt: w.pool.loop.Now()}
	w.queue.Add(row, j.Queue.Priority, delay)
	w.flushWithin(delay)
}

// pendingCallback is a callback that runs once rows are written.
type pendingCallback struct {
	run func()
	// mark follows the rows that were dirty when the callback was registered.
	mark writequeue.Mark
	// jobs are the identifiers of the jobs whose rows the callback depends on; nil means all rows.
	jobs []string
	// flushed is true once a flush has followed the registration.
	flushed bool
}

// afterPersist runs fn once the rows of the given jobs have been written as they are now, or all
// rows that are dirty now if no jobs are given. The write begins within delay, unless the store is
// slow. While the store is fast, fn waits for all dirty rows, since waiting for them takes no longer.
func (p *Pool) afterPersist(delay time.Duration, fn func(), jobs ...*job) {
	w := &p.writer
	if w.storeSlow && p.options.DisabledSafeguards.RowsBeforeCallbacks {
		p.afterUnsafeDelay(fn)
		return
	}
	callback := pendingCallback{run: fn, mark: w.queue.Mark(), jobs: jobIDs(jobs)}
	if !w.busy() || w.storeSlow && w.written(&callback) {
		fn()
		return
	}
	w.callbacks = append(w.callbacks, callback)
	w.flushWithin(delay)
}

// unsafeCallbackDelay is the delay of a callback that does not wait for its rows, so that a placement
// that is not valid is not repeated without end at the same moment.
const unsafeCallbackDelay = time.Millisecond

// afterUnsafeDelay runs fn although rows may not be written, for tests that show what this breaks.
func (p *Pool) afterUnsafeDelay(fn func()) {
	p.loop.After(unsafeCallbackDelay, func() {
		if !p.closed {
			fn()
		}
	})
}

func jobIDs(jobs []*job) []string {
	var ids []string
	for _, j := range jobs {
		ids = append(ids, j.id)
	}
	return ids
}

// remove deletes a job's progress row.
func (w *writer) remove(id string) {
	if w.storeSlow {
		w.pool.record.Count("writes_put_off", "removal")
	}
	w.queue.Remove(id, w.pool.loop.Now())
	w.flushWithin(w.resultWriteDelay())
}

// flushWithin schedules a flush within delay, or once the queue allows another batch.
func (w *writer) flushWithin(delay time.Duration) {
	if w.queue.Request(w.pool.loop.Now().Add(delay)) || w.storeSlow {
		w.scheduleFlush()
	}
}

// scheduleFlush schedules the flush of the next batch, if the queue allows one.
func (w *writer) scheduleFlush() {
	if w.flushPosted {
		return
	}
	if w.cancelFlush != nil {
		w.cancelFlush()
		w.cancelFlush = nil
	}
	due, found := w.queue.NextSend(w.conditions())
	if !found {
		return
	}
	delay := due.Sub(w.pool.loop.Now())
	if delay <= 0 {
		w.flushPosted = true
		w.pool.loop.Post(w.flush)
		return
	}
	w.flushAfter(delay)
}

// flush sends the next batch.
func (w *writer) flush() {
	w.flushPosted = false
	if w.pool.closed {
		return
	}
	w.updateStoreState()
	for i := range w.callbacks {
		w.callbacks[i].flushed = true
	}
	if !w.queue.Waiting() {
		w.queue.ClearRequest()
		w.runCallbacks()
		return
	}
	due, allowed := w.queue.NextSend(w.conditions())
	if !allowed {
		return
	}
	part, free := w.partitionForBatch()
	if !free {
		w.flushAfterPause()
		return
	}
	if !due.After(w.pool.loop.Now()) {
		w.sendNextBatch(part)
	}
	w.scheduleFlush()
}

// sendNextBatch sends the next batch to a partition. It sends none if all of its rows are too large.
func (w *writer) sendNextBatch(part int) {
	b := w.nextBatch()
	if b.entries() == 0 && len(w.oversized) > 0 {
		w.queue.Return(nil, nil, b.sentAt)
	} else {
		w.send(b, part)
	}
	w.setAsideOversized()
}

// partitionForBatch returns the partition for a new batch. While other batches are in flight, it is
// an idle one; false if there is none.
func (w *writer) partitionForBatch() (int, bool) {
	if w.queue.Batches() == 0 {
		return w.partition, true
	}
	for i := range progressPartitions {
		if part := (w.partition + i) % progressPartitions; w.idle(part) {
			return part, true
		}
	}
	return 0, false
}

// failedPartitionPause is how long a partition that failed gets no batch beside others.
const failedPartitionPause = 2 * time.Second

// idle reports whether a partition has no unanswered attempts and has not failed lately.
func (w *writer) idle(part int) bool {
	failedAt := w.failedAt[part]
	return w.attempts[part] == 0 && (failedAt.IsZero() || w.pool.loop.Now().Sub(failedAt) >= failedPartitionPause)
}

// flushAfterPause schedules a flush for the end of the next pause of a partition that failed. The
// answers of the other partitions lead to a flush anyway.
func (w *writer) flushAfterPause() {
	remaining := failedPartitionPause
	for part, failedAt := range w.failedAt {
		if w.attempts[part] == 0 {
			remaining = min(remaining, failedAt.Add(failedPartitionPause).Sub(w.pool.loop.Now()))
		}
	}
	w.flushAfter(remaining)
}

// flushAfter schedules a flush in place of the one that is scheduled.
func (w *writer) flushAfter(delay time.Duration) {
	if w.cancelFlush != nil {
		w.cancelFlush()
	}
	w.cancelFlush = w.pool.loop.After(delay, func() {
		w.cancelFlush = nil
		if !w.flushPosted {
			w.flush()
		}
	})
}

// runCallbacks runs the callbacks whose rows are written.
func (w *writer) runCallbacks() {
	var ready, waiting []pendingCallback
	for _, callback := range w.callbacks {
		if (callback.flushed || w.storeSlow) && w.written(&callback) {
			ready = append(ready, callback)
		} else {
			waiting = append(waiting, callback)
		}
	}
	w.callbacks = waiting
	for _, callback := range ready {
		callback.run()
	}
}

// written reports whether the rows that a callback waits for are written.
func (w *writer) written(callback *pendingCallback) bool {
	if w.storeSlow && w.pool.options.DisabledSafeguards.RowsBeforeCallbacks {
		return true
	}
	if !w.storeSlow || len(callback.jobs) == 0 {
		return w.queue.AllWritten(callback.mark)
	}
	for _, id := range callback.jobs {
		if !w.queue.Written(id, callback.mark) {
			return false
		}
	}
	return true
}
