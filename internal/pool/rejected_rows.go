package pool

import (
	"github.com/wheatroad/wheatroad/internal/compatibility"
	"github.com/wheatroad/wheatroad/internal/rows"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
	"github.com/wheatroad/wheatroad/internal/writequeue"
)

// The store may reject a transaction for its content, for example for a row that is too large. Sending
// the same rows again is useless, and no other row must wait for the one at fault. The writer
// therefore sends smaller batches until that row is alone, and sets it aside: the row sheds content,
// and its job ends if that is not enough. The head row is part of each transaction. If it is at fault,
// it sheds its models of durations.

// rejections is the state of a search for the row that the store rejects.
type rejections struct {
	// maxRows bounds the rows and removals of the next batch.
	maxRows int
	// suspect is the identifier of a row that was rejected alone with the head row, for the given
	// reason; empty if there is none. The next batch has the head row only, which shows which of them
	// is at fault.
	suspect, reason string
}

func newRejections() rejections { return rejections{maxRows: maxBatchRows} }

// nextBatchRows bounds the rows and removals of the next batch.
func (r *rejections) nextBatchRows() int {
	if r.suspect != "" {
		return 0
	}
	return r.maxRows
}

// committed doubles the size of batches after one of the largest size was written.
func (r *rejections) committed(entries int) {
	if entries >= r.maxRows {
		r.maxRows = min(maxBatchRows, 2*r.maxRows)
	}
}

// entries returns the number of rows and removals of a batch without the head row.
func (b *batch) entries() int { return len(b.rows) + len(b.removals) }

// rejected handles a batch that the store has rejected for its content.
func (w *writer) rejected(b *batch, err error) {
	w.pool.record.Count("refusals", "transaction_rejected")
	w.pool.recordStoreAnswer()
	if b.written || b.inFlight > 0 {
		return
	}
	// No attempt is in flight, and further ones would be rejected too.
	b.written = true
	w.queue.Return(b.rows, b.removals, w.pool.loop.Now())
	w.pool.record.Set("write_batches", int64(w.queue.Batches()))
	switch entries := b.entries(); {
	case entries > 1:
		w.rejections.maxRows = min(w.rejections.maxRows, entries/2)
	case entries == 1:
		w.rejectedAlone(b, err)
	default:
		w.rejections.suspect = ""
		if !w.shrinkHead(err) {
			w.pool.storeRetries.After(maxRetryDelay, w.flushReturned)
			return
		}
	}
	w.flushReturned()
}

// flushReturned sends rows that were returned to the queue.
func (w *writer) flushReturned() {
	if !w.pool.closed {
		w.queue.Request(w.pool.loop.Now())
		w.scheduleFlush()
	}
}

// rejectedAlone handles a batch of a single row, or a single removal, that the store has rejected.
func (w *writer) rejectedAlone(b *batch, err error) {
	if len(b.rows) > 0 {
		w.rejections.suspect, w.rejections.reason = b.rows[0].ID, err.Error()
		return
	}
	w.pool.record.Count("refusals", "row_removal_rejected")
	w.pool.record.LogEvent("row removal dropped", "pool", w.pool.options.Pool, "job", b.removals[0], "reason", err.Error())
	w.queue.DropRemoval(b.removals[0])
}

// headCommitted handles the commit of a batch without rows: the store takes the head row, so it is the
// suspect that it does not take.
func (w *writer) headCommitted() {
	suspect := w.rejections.suspect
	w.rejections.suspect = ""
	if row := w.queue.Row(suspect); row != nil {
		w.setAside(row, len(mustEncode(row.Value.progress())), w.rejections.reason)
	}
}

// shrinkHead makes the head row smaller after the store has rejected it. It reports whether the row could
// be made smaller.
func (w *writer) shrinkHead(err error) bool {
	bytes := len(w.pool.encodeHead(""))
	shrunk := w.pool.durations.shrinkHead()
	w.pool.record.Count("refusals", "head_row_rejected")
	w.pool.record.LogEvent("head row rejected", "pool", w.pool.options.Pool, "bytes", bytes, "shrunk", shrunk, "reason", err.Error())
	return shrunk
}

// encodeProgress returns the contents of a row for a batch, and their encoded form.
func (w *writer) encodeProgress(j *job) (Progress, []byte) {
	w.pool.chooseRowForm(j)
	progress := j.progress()
	progress.Token, progress.Serial = w.pool.token, w.serial
	value := mustEncode(progress)
	w.recordRowSize(j, len(value))
	return progress, value
}

// oversizedRow is a row that is larger than the store takes.
type oversizedRow struct {
	row   *writequeue.Row[*job]
	bytes int
}

// setAsideOversized sets the rows aside that the last batch left out for their size.
func (w *writer) setAsideOversized() {
	oversized := w.oversized
	w.oversized = nil
	for _, o := range oversized {
		w.setAside(o.row, o.bytes, "too large")
	}
}

// setAside makes a row smaller that the store does not take. The row first loses the losses of workers,
// which are evidence for the next owner only, and becomes compact if the pool's format allows it. If that
// is not enough, its job ends, and then it lists no units. A row that can't become smaller is not written.
func (w *writer) setAside(row *writequeue.Row[*job], bytes int, reason string) {
	j := row.Value
	w.pool.record.Count("refusals", "progress_row_rejected")
	w.pool.record.LogEvent("row set aside", "pool", w.pool.options.Pool, "job", j.id, "queue", j.Queue.Name, "state", string(j.pendingState),
		"bytes", bytes, "limit", w.pool.options.rowLimit(), "reason", reason)
	switch {
	case !j.withoutLosses:
		j.withoutLosses = true
		w.pool.persist(j)
	case !j.pendingState.Final() && !j.compactRow && w.pool.options.RowFormat >= compatibility.CompactProgress:
		j.compactRow = true
		w.pool.persist(j)
	case !j.pendingState.Final():
		w.pool.finishJob(j, taskgraph.Failed)
	case !j.withoutUnits:
		j.withoutUnits = true
		w.pool.persist(j)
	default:
		w.queue.Drop(j.id)
	}
}

// rowNearLimitRatio is the share of the store's limit from which the size of a row is logged.
const rowNearLimitRatio = 0.75

// recordRowSize records the size of a job's row, and logs it once if it is near the limit.
func (w *writer) recordRowSize(j *job, bytes int) {
	if bytes > w.largestRow {
		w.largestRow = bytes
		w.pool.record.Set("largest_progress", int64(bytes))
	}
	limit := w.pool.options.rowLimit()
	if !j.nearRowLimit && float64(bytes) > rowNearLimitRatio*float64(limit) {
		j.nearRowLimit = true
		w.pool.record.LogEvent("row near its limit", "pool", w.pool.options.Pool, "job", j.id, "queue", j.Queue.Name, "bytes", bytes, "limit", limit)
	}
}

// rowLimit returns the largest value of a row that the store takes, in bytes.
func (o *Options) rowLimit() int { return rows.RowLimit(o.MaxRowBytes) }
