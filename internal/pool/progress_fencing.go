package pool

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/wheatroad/wheatroad/internal/rows"
)

// fencePartition fences former owners from a progress partition by replacing its head row.
func (w *writer) fencePartition(part int, done func()) {
	p := w.pool
	partition := progressPartition(p.options.Pool, part)
	p.scanPrefix(ProgressTable, partition, headRow, func(listing rows.Listing) {
		version := rows.Absent
		for i := range listing.Rows {
			if listing.Rows[i].Name != headRow {
				continue
			}
			current := w.decodeHead(&listing.Rows[i])
			if current.Token > p.token {
				p.Abandon("head row has a newer token")
				return
			}
			version = listing.Rows[i].Version
			p.hasFormerOwner = p.hasFormerOwner || current.Token != p.token
			p.kept.recordHead(&current)
			p.mergeDurations(current.Durations)
		}
		w.fencePartitionAt(part, version, done)
	})
}

// decodeHead decodes a head row. A row that no owner can have written names no owner and is replaced
// like any other: the lease says who owns the pool, and without a new head row the partition is of no
// use.
func (w *writer) decodeHead(row *rows.Row) headRecord {
	var head headRecord
	if err := json.Unmarshal(row.Value, &head); err != nil || !tokenPrecedes(head.Token, row) {
		w.pool.record.Count("refusals", "head_row_invalid")
		return headRecord{}
	}
	return head
}

// tokenPrecedes reports whether the owner with a fencing token can have written a row. The token is the
// version of the owner's lease row, and versions rise with each transaction, so an owner's other rows
// have higher versions.
func tokenPrecedes(token int64, row *rows.Row) bool { return token < row.Version }

func (w *writer) fencePartitionAt(part int, version int64, done func()) {
	key := headKey(progressPartition(w.pool.options.Pool, part))
	sentAt := w.pool.loop.Now()
	w.pool.ports.Commit(rows.Transaction{
		Conditions: []rows.Condition{{Key: key, Version: version}},
		Puts:       []rows.Put{{Key: key, Value: w.pool.encodeHead("claim")}},
	}, func(result rows.Result, err error) {
		switch {
		case w.pool.closed:
		case err == nil && result.Committed:
			w.headVersions[part] = result.Version
			w.pool.ConfirmOwnership(sentAt)
			done()
		default:
			if errors.Is(err, rows.ErrRejected) {
				w.shrinkHead(err)
			}
			w.pool.record.Count("retries", "claim")
			w.pool.storeRetries.After(retryDelay, func() { w.fencePartition(part, done) })
		}
	})
}
