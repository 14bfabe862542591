package pool

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/rows"
	"github.com/wheatroad/wheatroad/internal/writequeue"
)

// maxCleaningDelay is how long the removal of expired jobs is put off while the store is slow. The
// rows cost only space, and slow phases are shorter.
const maxCleaningDelay = 30 * time.Second

// putsOffCleaning reports whether the removal of expired jobs is put off.
func (w *writer) putsOffCleaning() bool {
	return w.storeSlow && w.pool.loop.Now().Sub(w.slowSince) < maxCleaningDelay
}

// storeStateMonitor records the answer time of one write.
type storeStateMonitor struct {
	writer      *writer
	sentAt      time.Time
	sendTime    time.Duration
	overdue     bool
	cancelTimer func()
}

// monitorAnswer begins to record the answer time of a transaction that was sent now.
func (w *writer) monitorAnswer(transaction rows.Transaction) *storeStateMonitor {
	monitor := &storeStateMonitor{writer: w, sentAt: w.pool.loop.Now(), sendTime: rows.SendTime(transaction)}
	monitor.cancelTimer = w.pool.loop.After(writequeue.SlowAnswer+monitor.sendTime, func() {
		monitor.overdue = true
		w.latency.Overdue(w.pool.loop.Now())
		w.updateStoreState()
	})
	return monitor
}

// answered records the end of the call.
func (m *storeStateMonitor) answered(err error) {
	m.cancelTimer()
	now := m.writer.pool.loop.Now()
	if m.overdue {
		m.writer.latency.OverdueEnded(now)
	}
	if err == nil {
		m.writer.latency.Answered(now, now.Sub(m.sentAt)-m.sendTime)
	}
	m.writer.scheduleFastCheck()
}

// scheduleFastCheck schedules a check for the time at which the store counts as fast again, so that
// the end of a slow phase is noticed without a write.
func (w *writer) scheduleFastCheck() {
	if w.cancelCalmCheck != nil {
		w.cancelCalmCheck()
		w.cancelCalmCheck = nil
	}
	now := w.pool.loop.Now()
	fastAt, known := w.latency.FastAt(now)
	if !known {
		return
	}
	w.cancelCalmCheck = w.pool.loop.After(fastAt.Sub(now), func() {
		w.cancelCalmCheck = nil
		w.updateStoreState()
		w.scheduleFastCheck()
	})
}

// updateStoreState notices that the store has become slow or fast. It runs callbacks, so it is called
// by timers, answers and flushes, and not where a job is changed.
func (w *writer) updateStoreState() {
	now := w.pool.loop.Now()
	slow := w.latency.Slow(now)
	if slow == w.storeSlow || w.pool.closed {
		return
	}
	w.storeSlow = slow
	if slow {
		w.slowSince = now
		w.pool.record.LogEvent("store slow", "pool", w.pool.options.Pool, "batches", w.queue.Batches())
		w.runCallbacks()
	} else {
		w.pool.record.LogEvent("store fast again", "pool", w.pool.options.Pool, "slow_ms", now.Sub(w.slowSince).Milliseconds(), "answer_ms", w.latency.Typical().Milliseconds())
		w.queue.Request(now)
	}
	w.scheduleFlush()
}
