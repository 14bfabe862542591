package pool

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wheatroad/wheatroad/internal/knowledge"
	"github.com/wheatroad/wheatroad/internal/mechanism"
	"github.com/wheatroad/wheatroad/internal/rows"
)

// keptKnowledge reads a row in which an earlier owner has kept what it had learned, and writes the
// row for the next owner. No decision waits for either. See docs/design/kept-knowledge.md.
type keptKnowledge struct {
	pool     *Pool
	key      rows.Key
	composer *knowledge.Composer
	// optional is true for a row that is written only once something is learned. The other row tells
	// the next owner from when on losses were watched.
	optional bool
	// earlierOwner is the fencing token of the last owner before this one that a head row names; 0 if
	// none does. unnamedOwner is true if a head row names no owner.
	earlierOwner int64
	unnamedOwner bool
	// earlierLostAfter is the highest LostAfterSerial of the last owner's head rows.
	earlierLostAfter int
	// rowWriter is the token of the row that was read, and rowSerial its serial; 0 if no row could be
	// read.
	rowWriter int64
	rowSerial int
	// read is true once the present row is known. version is its version, and written is true if
	// this owner has written it.
	read    bool
	version int64
	written bool
	// newerOwner is true if the row last seen was written by a newer owner, or may have been.
	newerOwner bool
	// serial is the serial of the last write. unanswered is the content of the last write whose
	// outcome is not known, and unansweredSerial its serial.
	serial, unansweredSerial int
	// lostAfterSerial is the serial of the last write before the last loss of a worker.
	lostAfterSerial int
	unanswered      knowledge.Snapshot
	inFlight        bool
	// attemptedAt is when the last write began, and lastWriteTook how long it took.
	attemptedAt   time.Time
	lastWriteTook time.Duration
	// checkedAt is when the sections were last exported; zero if they are to be exported next.
	// releaseChecked is true once they were exported during a release.
	checkedAt      time.Time
	releaseChecked bool
}

// knowledgeCheckInterval is the minimum time between two exports of all sections.
const knowledgeCheckInterval = time.Second

// newKeptKnowledge returns the kept knowledge of a pool with the given sections, most important
// first.
func newKeptKnowledge(p *Pool, sections ...knowledge.Section) *keptKnowledge {
	k := &keptKnowledge{pool: p, key: KnowledgeKey(p.options.Pool), composer: knowledge.NewComposer(sections...)}
	k.composer.MaxRowBytes = p.options.rowLimit()
	return k
}

// newKeptDurations returns the kept knowledge of a pool about durations. It has a row of its own, as
// its size follows the number of queues.
func newKeptDurations(p *Pool) *keptKnowledge {
	k := newKeptKnowledge(p, &durationSection{pool: p})
	k.key, k.optional = DurationsKey(p.options.Pool), true
	return k
}

func (k *keptKnowledge) disabled() bool {
	return k.pool.options.DisabledMechanisms[mechanism.KeptKnowledge]
}

// readKnowledge reads the rows of kept knowledge. If the store is away, they are merged when they come.
func (p *Pool) readKnowledge() {
	if p.kept.disabled() {
		return
	}
	p.lossTracker.WatchFrom(p.acquiredAt)
	// The name of the first row is a prefix of the other one's.
	key := KnowledgeKey(p.options.Pool)
	p.scanPrefix(key.Table, key.Part, key.Name, func(listing rows.Listing) {
		p.kept.handleListing(&listing)
		p.keptDurations.handleListing(&listing)
	})
}

// handleListing handles the rows that were read at the takeover.
func (k *keptKnowledge) handleListing(listing *rows.Listing) {
	k.read = true
	for i := range listing.Rows {
		if listing.Rows[i].Key == k.key {
			k.handleRow(&listing.Rows[i])
			return
		}
	}
	if !k.optional {
		k.logRead("absent", &knowledge.Row{}, 0, knowledge.Imported{})
	}
}

// handleRow merges the row that was read at the takeover.
func (k *keptKnowledge) handleRow(stored *rows.Row) {
	k.version = stored.Version
	row, err := decodeKnowledge(stored)
	k.newerOwner = k.mayBeNewer(&row, err, stored.Version)
	switch {
	case row.Token > k.pool.token:
		k.logRead("newer_token", &row, len(stored.Value), knowledge.Imported{})
	case err != nil:
		k.logRead(refusalReason(err), &row, len(stored.Value), knowledge.Imported{})
	default:
		imported := k.composer.Import(&row, k.pool.loop.Now(), k.pool.loop.TimeOfDay())
		k.rowWriter, k.rowSerial = row.Token, row.Serial
		k.logRead("read", &row, len(stored.Value), imported)
		k.continueWatch()
		k.pool.scheduleCycle()
	}
}

// decodeKnowledge decodes a stored row. A row that no owner can have written is unreadable.
func decodeKnowledge(stored *rows.Row) (knowledge.Row, error) {
	row, err := knowledge.Decode(stored.Value)
	if !tokenPrecedes(row.Token, stored) {
		return knowledge.Row{}, knowledge.ErrUnreadable
	}
	return row, err
}

// mayBeNewer reports whether a newer owner may have written a row. The token of a row that is too
// large may be unknown. A row of a version before this owner's token is of no newer owner.
func (k *keptKnowledge) mayBeNewer(row *knowledge.Row, err error, version int64) bool {
	unknown := errors.Is(err, knowledge.ErrTooLarge) && row.Token == 0
	return unknown && version > k.pool.token || row.Token > k.pool.token
}

func refusalReason(err error) string {
	switch {
	case errors.Is(err, knowledge.ErrNewerFormat):
		return "newer_format"
	case errors.Is(err, knowledge.ErrTooLarge):
		return "too_large"
	}
	return "unreadable"
}

// logRead counts and logs what was read at the takeover.
func (k *keptKnowledge) logRead(result string, row *knowledge.Row, bytes int, imported knowledge.Imported) {
	record := k.pool.record
	record.Count("knowledge", result)
	for range imported.Refused {
		record.Count("knowledge", "section_refused")
	}
	record.LogEvent("kept knowledge read", "pool", k.pool.options.Pool, "row", k.key.Name, "result", result, "token", row.Token, "bytes", bytes,
		"sections", strings.Join(imported.Known, " "), "refused", strings.Join(imported.Refused, " "), "age_ms", imported.Age.Milliseconds())
}

// recordHead records which owner wrote a head row. A head row without a usable token still shows
// that there was an owner before this one.
func (k *keptKnowledge) recordHead(head *headRecord) {
	switch {
	case head.Token < 1:
		k.unnamedOwner = true
	case head.Token >= k.pool.token || head.Token < k.earlierOwner:
	case head.Token == k.earlierOwner:
		k.earlierLostAfter = max(k.earlierLostAfter, head.LostAfterSerial)
	default:
		k.earlierOwner, k.earlierLostAfter = head.Token, head.LostAfterSerial
	}
}

// continueWatch tells the loss tracker which losses before this owner are known, once the head rows
// name the last owner. A row of an owner before that one tells nothing of the losses since, nor does
// a row that the last owner wrote before a loss.
func (k *keptKnowledge) continueWatch() {
	switch {
	case k.optional, k.disabled(), k.pool.progressFencedAt.IsZero(), k.unnamedOwner:
	case k.earlierOwner == 0:
		k.pool.lossTracker.AssumeNoLossesBefore()
	case k.rowWriter == k.earlierOwner && k.rowSerial > k.earlierLostAfter:
		k.pool.lossTracker.ContinueWatch()
	}
}

// recordLoss records that a worker was lost. The sections are exported as soon as a write is
// allowed, and head rows say which row does not hold the loss.
func (k *keptKnowledge) recordLoss() { k.checkedAt, k.lostAfterSerial = time.Time{}, k.serial }

// writeIfDue writes the row if the next owner would decide differently by it.
func (k *keptKnowledge) writeIfDue() {
	now := k.pool.loop.Now()
	if k.disabled() || !k.pool.loaded || !k.checkDue(now) {
		return
	}
	state := k.writeState(now)
	// Exporting all sections takes time, so the other reasons not to write are checked first.
	state.Changed = true
	if knowledge.WriteDue(&state) != knowledge.Write {
		return
	}
	k.checkedAt, k.releaseChecked = now, k.pool.releasing
	snapshot := k.composer.Snapshot(now)
	state.Changed, state.Bytes = k.composer.Changed(snapshot), snapshot.Bytes()
	if knowledge.WriteDue(&state) == knowledge.Write {
		k.write(snapshot, now)
	}
}

// checkDue reports whether the sections may be exported again. A release exports them once.
func (k *keptKnowledge) checkDue(now time.Time) bool {
	if k.pool.releasing {
		return !k.releaseChecked
	}
	return now.Sub(k.checkedAt) >= knowledgeCheckInterval
}

// writeState returns what a decision to write goes by. An optional row needs no first write.
func (k *keptKnowledge) writeState(now time.Time) knowledge.WriteState {
	p := k.pool
	return knowledge.WriteState{
		Read: k.read, NewerOwner: k.newerOwner, InFlight: k.inFlight, Written: k.written || k.optional, Releasing: p.releasing,
		SinceTakeover: now.Sub(p.acquiredAt), SinceAnswer: now.Sub(p.lastStoreAnswerAt), SinceConfirmation: now.Sub(p.ownershipConfirmedAt),
		Attempted: k.serial > 0, SinceAttempt: now.Sub(k.attemptedAt), LastWriteTook: k.lastWriteTook,
	}
}

// write replaces the row on condition that it is still the one last seen.
func (k *keptKnowledge) write(snapshot knowledge.Snapshot, now time.Time) {
	p := k.pool
	k.serial++
	k.attemptedAt = now
	for range snapshot.Omitted {
		p.record.Count("knowledge", "section_omitted")
	}
	row := snapshot.Row(p.token, k.serial, now, p.loop.TimeOfDay())
	value, err := row.Encode()
	if err != nil || len(value) > min(knowledge.MaxRowBytes, p.options.rowLimit()) {
		p.record.Count("knowledge", "write_too_large")
		return
	}
	k.inFlight = true
	p.ports.Commit(rows.Transaction{
		Conditions: []rows.Condition{{Key: k.key, Version: k.version}},
		Puts:       []rows.Put{{Key: k.key, Value: value}},
	}, func(result rows.Result, err error) {
		if p.closed {
			return
		}
		k.inFlight = false
		k.lastWriteTook = p.loop.Now().Sub(now)
		switch {
		case errors.Is(err, rows.ErrRejected):
			p.record.Count("knowledge", "write_rejected")
		case err != nil:
			p.record.Count("knowledge", "write_failed")
			k.unanswered, k.unansweredSerial = snapshot, row.Serial
		case result.Committed:
			k.version = result.Version
			k.markWritten(snapshot, len(value))
		default:
			k.handleReplacedRow(result, snapshot, row.Serial)
		}
	})
}

func (k *keptKnowledge) markWritten(snapshot knowledge.Snapshot, bytes int) {
	k.written = true
	k.composer.MarkWritten(snapshot)
	k.pool.record.Count("knowledge", "written")
	k.pool.record.Set(k.bytesGauge(), int64(bytes))
}

// bytesGauge returns the name of the gauge of the row's size.
func (k *keptKnowledge) bytesGauge() string {
	if k.optional {
		return "durations_bytes"
	}
	return "knowledge_bytes"
}

// handleReplacedRow handles a failed condition of a write. The row was written by another copy of
// this write, by an earlier write of this owner whose response was lost, by a write of a former
// owner that came late, or by a newer owner. Only the last one's row stays; the others are replaced
// by the next write.
func (k *keptKnowledge) handleReplacedRow(result rows.Result, snapshot knowledge.Snapshot, serial int) {
	k.pool.record.Count("knowledge", "write_superseded")
	k.version, k.written = rows.Absent, false
	if len(result.Current) == 0 {
		return
	}
	current := &result.Current[0]
	k.version = current.Version
	row, err := decodeKnowledge(current)
	k.newerOwner = k.mayBeNewer(&row, err, current.Version)
	switch {
	case row.Token != k.pool.token:
	case row.Serial == serial:
		k.markWritten(snapshot, len(current.Value))
	case row.Serial == k.unansweredSerial:
		k.markWritten(k.unanswered, len(current.Value))
	}
}
