package pool

import (
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wheatroad/wheatroad/internal/rows"
	"github.com/wheatroad/wheatroad/internal/writequeue"
)

// Limits of one batch, below the store's limits for a transaction: 100 entries and, encoded, 1 MB.
const (
	maxBatchRows  = 80
	maxBatchBytes = 700 << 10
)

// batch is a set of rows that is written in one transaction.
type batch struct {
	serial   int
	rows     []*writequeue.Row[*job]
	progress []Progress
	values   [][]byte
	removals []string
	// hasRemainder is true if dirty rows did not fit. These rows are overdue, so the next batch is
	// sent without a delay.
	hasRemainder   bool
	sentAt         time.Time
	failedAttempts int
	// inFlight is the number of attempts without a response, and attempts the same by partition.
	inFlight int
	attempts [progressPartitions]int
	// written is true once an attempt is known to be committed.
	written bool
}

// nextBatch takes as many rows from the queue as fit into a batch.
func (w *writer) nextBatch() *batch {
	w.serial++
	b := &batch{serial: w.serial, sentAt: w.pool.loop.Now()}
	candidates, maxRows := w.queue.Candidates(w.conditions()), w.rejections.nextBatchRows()
	bytes := 0
	for _, row := range candidates[:min(len(candidates), maxRows)] {
		progress, value := w.encodeProgress(row.Value)
		if len(value) > w.pool.options.rowLimit() {
			w.oversized = append(w.oversized, oversizedRow{row: row, bytes: len(value)})
			continue
		}
		bytes += len(value)
		if bytes > maxBatchBytes && len(b.rows) > 0 {
			break
		}
		b.rows = append(b.rows, row)
		b.progress = append(b.progress, progress)
		b.values = append(b.values, value)
	}
	b.hasRemainder = len(b.rows)+len(w.oversized) < len(candidates)
	spareRows := 0
	if !b.hasRemainder {
		spareRows = maxRows - len(b.rows)
	}
	b.removals = w.queue.Send(b.rows, spareRows)
	w.pool.record.Set("write_batches", int64(w.queue.Batches()))
	return b
}

// transaction builds the transaction that writes a batch to a partition.
func (w *writer) transaction(b *batch, part int) rows.Transaction {
	partition := progressPartition(w.pool.options.Pool, part)
	transaction := rows.Transaction{
		Conditions: []rows.Condition{{Key: headKey(partition), Version: w.headVersions[part]}},
		Puts:       []rows.Put{{Key: headKey(partition), Value: w.pool.encodeHead(strconv.Itoa(b.serial))}},
	}
	if w.pool.options.DisabledSafeguards.HeadCondition {
		transaction.Conditions = nil
	}
	for i, row := range b.rows {
		transaction.Puts = append(transaction.Puts, rows.Put{Key: progressKey(partition, row.ID), Value: b.values[i]})
	}
	for _, id := range b.removals {
		transaction.Removes = append(transaction.Removes, progressKey(partition, id))
	}
	return transaction
}

func (p *Pool) encodeHead(nonce string) []byte {
	return mustEncode(headRecord{
		Token: p.token, Nonce: p.options.Incarnation + "." + nonce,
		Durations: p.durations.forHead(), LostAfterSerial: p.kept.lostAfterSerial,
	})
}

// partitionTimeout is how long the owner waits for a response before it also sends a batch to the
// next partition, while the store is fast. The time that sending takes is added. A store that is
// fifty times slower than usual takes some 0.5 s for a transaction.
const partitionTimeout = 600 * time.Millisecond

// send sends a batch to a partition.
func (w *writer) send(b *batch, part int) {
	a := &attempt{batch: b, part: part, sentAt: w.pool.loop.Now()}
	b.inFlight++
	b.attempts[part]++
	w.attempts[part]++
	transaction := w.transaction(b, part)
	monitor := w.monitorAnswer(transaction)
	w.pool.ports.Commit(transaction, func(result rows.Result, err error) {
		a.answered = true
		b.inFlight--
		b.attempts[part]--
		w.attempts[part]--
		if w.pool.closed {
			return
		}
		monitor.answered(err)
		// The state comes first, so that callbacks of the result don't meet a change of it.
		w.updateStoreState()
		w.handleResult(a, result, err)
		if w.storeSlow {
			w.scheduleFlush()
		}
	})
	w.copyAfter(a, partitionTimeout, rows.SendTime(transaction))
}

// attempt is one transaction that writes a batch to a partition.
type attempt struct {
	batch    *batch
	part     int
	sentAt   time.Time
	answered bool
}

func (w *writer) handleResult(a *attempt, result rows.Result, err error) {
	w.failedAt[a.part] = time.Time{}
	switch {
	case errors.Is(err, rows.ErrRejected):
		w.rejected(a.batch, err)
	case err != nil:
		w.failedAt[a.part] = w.pool.loop.Now()
		w.retry(a, err)
	case result.Committed:
		w.headVersions[a.part] = max(w.headVersions[a.part], result.Version)
		w.pool.ConfirmOwnership(a.sentAt)
		w.finish(a.batch)
	default:
		w.conditionFailed(a, result)
	}
}

// copyAfter sends a batch to another partition as well if an attempt gets no response in time. The
// time is measured again at its end, as the store may have become slow meanwhile.
func (w *writer) copyAfter(a *attempt, timeout, sendTime time.Duration) {
	remaining := a.sentAt.Add(timeout + sendTime).Sub(w.pool.loop.Now())
	w.pool.loop.After(remaining, func() {
		if w.pool.closed || a.answered || a.batch.written || a.batch.inFlight >= progressPartitions {
			return
		}
		if longer := w.latency.CopyTimeout(w.pool.loop.Now(), partitionTimeout); longer > timeout {
			w.copyAfter(a, longer, sendTime)
			return
		}
		w.pool.record.Count("retries", "commit_slow")
		w.send(a.batch, w.nextPartition(a))
	})
}

// nextPartition returns the partition for the next attempt after one that failed or got no response
// in time. If new batches would go to the partition of the failed attempt, they go there as well.
func (w *writer) nextPartition(a *attempt) int {
	next := w.partitionAfter(a)
	if w.partition == a.part || w.queue.Batches() == 1 {
		w.partition = next
	}
	return next
}

// partitionAfter returns the partition for the next attempt after a given one: the next idle one, or
// else the next one without an unanswered attempt of this batch, or else the next one. Two batches in
// one partition do no harm, but one of them has to be sent again.
func (w *writer) partitionAfter(a *attempt) int {
	var others []int
	for i := 1; i < progressPartitions; i++ {
		others = append(others, (a.part+i)%progressPartitions)
	}
	if i := slices.IndexFunc(others, w.idle); i >= 0 {
		return others[i]
	}
	unused := func(part int) bool { return a.batch.attempts[part] == 0 }
	return others[max(0, slices.IndexFunc(others, unused))]
}

// retry sends a failed batch to the next partition, with backoff once all partitions have failed.
// All attempts write the same rows, so any number of attempts may take effect.
func (w *writer) retry(a *attempt, err error) {
	b := a.batch
	w.pool.record.Count("retries", commitRetryReason(err))
	b.failedAttempts++
	if b.written || b.inFlight > 0 {
		return
	}
	next := w.nextPartition(a)
	if b.failedAttempts%progressPartitions != 0 {
		w.send(b, next)
		return
	}
	pause := retryDelay
	for range min(b.failedAttempts/progressPartitions, maxBackoffDoublings) {
		pause = nextRetryDelay(pause)
	}
	w.pool.storeRetries.After(pause, func() {
		if !w.pool.closed {
			w.send(b, w.leastUsedPartition())
		}
	})
}

// leastUsedPartition returns the partition with the fewest unanswered attempts. The current one is
// preferred, and then the next one.
func (w *writer) leastUsedPartition() int {
	least := w.partition
	for i := range progressPartitions {
		if part := (w.partition + i) % progressPartitions; w.attempts[part] < w.attempts[least] {
			least = part
		}
	}
	return least
}

// maxBackoffDoublings limits the exponential backoff between attempts.
const maxBackoffDoublings = 4

func commitRetryReason(err error) string {
	if errors.Is(err, rows.ErrNoEffect) {
		return "commit_refused"
	}
	return "commit_no_answer"
}

// conditionFailed handles a failed condition on the head row. If an earlier attempt wrote the row
// and its response was lost, the batch is written. If another batch of this owner wrote the row,
// the batch is sent again. Otherwise this owner was replaced.
func (w *writer) conditionFailed(a *attempt, result rows.Result) {
	w.pool.recordStoreAnswer()
	for i := range result.Current {
		row := &result.Current[i]
		var current headRecord
		if row.Name != headRow || json.Unmarshal(row.Value, &current) != nil || current.Token != w.pool.token {
			continue
		}
		w.headVersions[a.part] = max(w.headVersions[a.part], row.Version)
		if current.Nonce == w.pool.options.Incarnation+"."+strconv.Itoa(a.batch.serial) {
			w.finish(a.batch)
			return
		}
		if !a.batch.written {
			w.send(a.batch, a.part)
		}
		return
	}
	w.pool.Abandon("head row replaced")
}

func (w *writer) finish(b *batch) {
	if b.written {
		return
	}
	b.written = true
	w.pool.recordStoreAnswer()
	now := w.pool.loop.Now()
	w.pool.record.Observe("store_commit", now.Sub(b.sentAt))
	w.queue.Finish(b.rows, b.removals)
	w.rejections.committed(b.entries())
	if b.entries() == 0 {
		w.headCommitted()
	}
	w.pool.record.Set("write_batches", int64(w.queue.Batches()))
	for i, row := range b.rows {
		row.Value.state = b.progress[i].State
		w.pool.record.Observe(writtenHistogram(row.Purpose), now.Sub(row.ChangedAt))
	}
	w.runCallbacks()
	waiting := w.queue.Waiting() || len(w.callbacks) > 0
	if b.hasRemainder || waiting && !w.queue.Requested() {
		w.queue.Request(now)
	}
	w.scheduleFlush()
}

// writtenHistogram returns the histogram of the time from a change to its write.
func writtenHistogram(purpose writequeue.Purpose) string { return "written_" + purpose.String() }
