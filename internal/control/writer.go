package control

import (
	"bytes"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/wheatroad/wheatroad/internal/store"
)

// batchLimit bounds how many changes go into one transaction.
const batchLimit = 64

// writeResult is the definite end of a change.
type writeResult int

const (
	// written changes are in the table.
	written writeResult = iota
	// conflicting changes found another content and will never take effect.
	conflicting
	// unavailable changes were refused before they could take effect.
	unavailable
	// refused changes did not pass their own check any more.
	refused
)

// change is one job's part of a transaction.
type change struct {
	conditions []store.Condition
	// writes begin with the row that identifies the change: its content is unlike
	// that of any other write.
	writes []store.Write
	// check is asked before each try; an error ends the change as refused.
	check func() error
	// expendable changes end as unavailable when the store refuses them; others
	// are repeated until they have an end.
	expendable bool
	// uncertain says that a try's answer was lost.
	uncertain bool
	done      func(result writeResult, revision int64)
}

// writer puts a domain's changes into the table, one transaction at a time and
// many changes in each. Every transaction is conditional on the domain's epoch
// and on the configuration that the decisions were made under.
//
// A lost answer is settled by repeating the same transaction. Its conditions name
// revisions, so at most one of the two can ever take effect: once the repetition
// has a definite answer the first can do nothing more, however late it arrives.
type writer struct {
	domain  *domain
	waiting []*change
	current []*change
	retries int
	// active is true from the first try of a batch until the last of its changes
	// has ended; changes that end may add new ones meanwhile.
	active bool
	closed bool
}

func (w *writer) busy() bool { return len(w.waiting) > 0 || w.active }

func (w *writer) add(c *change) {
	if w.closed {
		return
	}
	w.waiting = append(w.waiting, c)
	w.flush()
}

// close drops everything: another owner's epoch makes all of it fail.
func (w *writer) close() {
	w.closed = true
	w.waiting = nil
	w.current = nil
}

func (w *writer) flush() {
	if w.closed || w.active || len(w.waiting) == 0 {
		return
	}
	w.active = true
	count := min(batchLimit, len(w.waiting))
	w.current = slices.Clone(w.waiting[:count])
	w.waiting = w.waiting[count:]
	w.retries = 0
	w.send()
}

// send tries the current batch.
func (w *writer) send() {
	if w.closed {
		return
	}
	w.dropRefused()
	if len(w.current) == 0 {
		w.next()
		return
	}
	w.domain.node.ports.Commit(w.transaction(), func(result store.CommitResult, err error) {
		if w.closed {
			return
		}
		switch {
		case errors.Is(err, store.ErrOutcomeUnknown):
			w.answerLost()
		case err != nil:
			w.storeAway()
		case result.Committed:
			w.finish(w.current, written, result.Revision)
			w.next()
		default:
			w.conditionsFailed(result.Failed)
		}
	})
}

func (w *writer) dropRefused() {
	kept := w.current[:0]
	for _, c := range w.current {
		if c.check != nil && !c.uncertain && c.check() != nil {
			c.done(refused, 0)
			continue
		}
		kept = append(kept, c)
	}
	w.current = kept
}

func (w *writer) transaction() store.Transaction {
	node := w.domain.node
	transaction := store.Transaction{}
	if !node.options.Mechanisms.WithoutWriterFencing {
		transaction.Conditions = append(transaction.Conditions, store.Condition{Key: epochKey(w.domain.name), Revision: w.domain.epochRevision})
	}
	if !node.options.Mechanisms.WithoutConfigurationVersions {
		transaction.Conditions = append(transaction.Conditions, store.Condition{Key: headKey, Revision: node.board.HeadRevision})
	}
	for _, c := range w.current {
		transaction.Conditions = append(transaction.Conditions, c.conditions...)
		transaction.Writes = append(transaction.Writes, c.writes...)
	}
	if node.options.Mechanisms.WithoutWriterFencing {
		transaction.Conditions = nil
	}
	return transaction
}

func (w *writer) finish(changes []*change, result writeResult, revision int64) {
	for _, c := range changes {
		c.done(result, revision)
	}
}

func (w *writer) next() {
	w.current = nil
	w.active = false
	w.flush()
	w.domain.tryHandBack()
}

func (w *writer) answerLost() {
	w.domain.node.record.Count(CounterRetries, "table_answer_lost")
	if w.domain.node.options.Mechanisms.WithoutOperationMarkers {
		w.believeReadBack()
		return
	}
	for _, c := range w.current {
		c.uncertain = true
	}
	w.again()
}

// believeReadBack is what the marker replaces: it takes an absent row for proof
// that the write did not and will not happen.
func (w *writer) believeReadBack() {
	left := len(w.current)
	for _, c := range w.current {
		w.domain.node.ports.Get(c.writes[0].Key, func(row store.Row, err error) {
			if err == nil && bytes.Equal(row.Value, c.writes[0].Value) {
				c.done(written, row.Revision)
			} else {
				c.done(unavailable, 0)
			}
			if left--; left == 0 {
				w.next()
			}
		})
	}
}

func (w *writer) storeAway() {
	w.domain.node.record.Count(CounterRetries, "table_unavailable")
	kept := w.current[:0]
	for _, c := range w.current {
		if c.expendable && !c.uncertain {
			c.done(unavailable, 0)
			continue
		}
		kept = append(kept, c)
	}
	w.current = kept
	if len(w.current) == 0 {
		w.next()
		return
	}
	w.again()
}

func (w *writer) again() {
	pause := w.domain.node.backoff(w.retries)
	w.retries++
	w.domain.node.loop.After(pause, w.send)
}

// conditionsFailed sorts out which changes the failed conditions belong to.
func (w *writer) conditionsFailed(failed []string) {
	if slices.Contains(failed, epochKey(w.domain.name)) {
		w.domain.drop("fenced")
		return
	}
	if slices.Contains(failed, headKey) {
		w.domain.node.record.Count(CounterRetries, "configuration_changed")
		w.domain.node.watcher.now()
	}
	var lost, kept []*change
	for _, c := range w.current {
		if c.failedBy(failed) {
			lost = append(lost, c)
		} else {
			kept = append(kept, c)
		}
	}
	w.current = kept
	if len(lost) == 0 {
		w.again()
		return
	}
	w.settle(lost)
}

func (c *change) failedBy(failed []string) bool {
	for _, condition := range c.conditions {
		if slices.Contains(failed, condition.Key) {
			return true
		}
	}
	return false
}

// settle tells changes that an earlier try put in the table from those that found
// another content there.
func (w *writer) settle(lost []*change) {
	left := len(lost)
	for _, c := range lost {
		if !c.uncertain {
			c.done(conflicting, 0)
			left--
			continue
		}
		w.readBack(c, func() {
			if left--; left == 0 {
				w.resume()
			}
		})
	}
	if left == 0 {
		w.resume()
	}
}

func (w *writer) resume() {
	if w.closed {
		return
	}
	if len(w.current) == 0 {
		w.next()
		return
	}
	w.send()
}

func (w *writer) readBack(c *change, done func()) {
	w.domain.node.ports.Get(c.writes[0].Key, func(row store.Row, err error) {
		if w.closed {
			return
		}
		if err != nil {
			w.domain.node.loop.After(w.domain.node.backoff(0), func() { w.readBack(c, done) })
			return
		}
		if bytes.Equal(row.Value, c.writes[0].Value) {
			c.done(written, row.Revision)
		} else {
			c.done(conflicting, 0)
		}
		done()
	})
}
