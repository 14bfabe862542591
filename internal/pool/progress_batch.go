package pool

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wheatroad/wheatroad/internal/rows"
)

// Limits of one batch, below the store's limits for a transaction.
const (
	maxBatchRows  = 80
	maxBatchBytes = 700 << 10
)

// batch is a set of rows that is written in one transaction, with the callbacks that wait
// for the write.
type batch struct {
	serial    int
	jobs      []*job
	progress  []Progress
	values    [][]byte
	removals  []string
	callbacks []func()
	// hasRemainder is true if dirty rows did not fit. These rows are overdue, so the next batch is
	// sent without a delay.
	hasRemainder   bool
	sentAt         time.Time
	failedAttempts int
	// inFlight is the number of attempts without a response.
	inFlight int
	// written is true once an attempt is known to be committed.
	written bool
}

func (w *writer) nextBatch() *batch {
	w.serial++
	b := &batch{serial: w.serial, sentAt: w.pool.loop.Now()}
	bytes := 0
	for len(w.dirty) > 0 && len(b.jobs) < maxBatchRows {
		j := w.dirty[0]
		progress := j.progress()
		progress.Token, progress.Serial = w.pool.token, b.serial
		value := mustEncode(progress)
		bytes += len(value)
		if bytes > maxBatchBytes && len(b.jobs) > 0 {
			break
		}
		w.dirty = w.dirty[1:]
		w.batched++
		j.dirty = false
		b.jobs = append(b.jobs, j)
		b.progress = append(b.progress, progress)
		b.values = append(b.values, value)
	}
	b.hasRemainder = len(w.dirty) > 0
	b.callbacks = w.readyCallbacks()
	if !b.hasRemainder {
		count := min(len(w.removals), maxBatchRows-len(b.jobs))
		b.removals, w.removals = w.removals[:count], w.removals[count:]
	}
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
	for i, j := range b.jobs {
		transaction.Puts = append(transaction.Puts, rows.Put{Key: progressKey(partition, j.id), Value: b.values[i]})
	}
	for _, id := range b.removals {
		transaction.Removes = append(transaction.Removes, progressKey(partition, id))
	}
	return transaction
}

func (p *Pool) encodeHead(nonce string) []byte {
	return mustEncode(headRecord{Token: p.token, Nonce: p.options.Incarnation + "." + nonce, Durations: p.durations, LostAfterSerial: p.kept.lostAfterSerial})
}

// partitionTimeout is how long the owner waits for a response before it also sends a batch to the
// next partition. The time that sending takes is added.
const partitionTimeout = 600 * time.Millisecond

func (w *writer) send(b *batch) {
	part := w.partition
	answered := false
	b.inFlight++
	transaction := w.transaction(b, part)
	sentAt := w.pool.loop.Now()
	w.pool.ports.Commit(transaction, func(result rows.Result, err error) {
		answered = true
		b.inFlight--
		switch {
		case w.pool.closed:
		case err != nil:
			w.retry(b, err)
		case result.Committed:
			w.headVersions[part] = max(w.headVersions[part], result.Version)
			w.pool.ConfirmOwnership(sentAt)
			w.finish(b)
		default:
			w.conditionFailed(b, part, result)
		}
	})
	w.pool.loop.After(partitionTimeout+rows.SendTime(transaction), func() {
		if !w.pool.closed && !answered && !b.written && b.inFlight < progressPartitions {
			w.pool.record.Count("retries", "commit_slow")
			w.partition = (part + 1) % progressPartitions
			w.send(b)
		}
	})
}

// retry sends a failed batch to the next partition, with backoff once all partitions have failed.
// All attempts write the same rows, so any number of attempts may take effect.
func (w *writer) retry(b *batch, err error) {
	w.pool.record.Count("retries", commitRetryReason(err))
	b.failedAttempts++
	if b.written || b.inFlight > 0 {
		return
	}
	w.partition = (w.partition + 1) % progressPartitions
	if b.failedAttempts%progressPartitions != 0 {
		w.send(b)
		return
	}
	pause := retryDelay
	for range min(b.failedAttempts/progressPartitions, maxBackoffDoublings) {
		pause = nextRetryDelay(pause)
	}
	w.pool.storeRetries.After(pause, func() {
		if !w.pool.closed {
			w.send(b)
		}
	})
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
func (w *writer) conditionFailed(b *batch, part int, result rows.Result) {
	w.pool.recordStoreAnswer()
	for i := range result.Current {
		row := &result.Current[i]
		var current headRecord
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
	w.pool.Abandon("head row replaced")
}

func (w *writer) finish(b *batch) {
	if b.written {
		return
	}
	b.written = true
	w.pool.recordStoreAnswer()
	w.pool.record.Observe("store_commit", w.pool.lastStoreAnswerAt.Sub(b.sentAt))
	w.sending = false
	for i, j := range b.jobs {
		j.state = b.progress[i].State
	}
	w.runCallbacks(b.callbacks)
	waiting := len(w.dirty) > 0 || len(w.removals) > 0 || len(w.callbacks) > 0
	if b.hasRemainder || waiting && w.dueAt.IsZero() {
		w.dueAt = w.pool.loop.Now()
	}
	if !w.dueAt.IsZero() {
		w.scheduleFlush()
	}
}
