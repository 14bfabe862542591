package pool

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wheatroad/wheatroad/internal/fleet"
)

// foreignRows tracks invalid worker rows.
type foreignRows struct {
	// faults holds the fault of each invalid row by row name.
	faults map[string]fleet.RowFault
	// told is the count that was last logged, at toldAt.
	told   int
	toldAt time.Time
}

// foreignRowsPause limits the rate of log lines about invalid rows: there may be thousands, and
// they may change with each heartbeat.
const foreignRowsPause = 10 * time.Second

// takeForeignRow records an invalid worker row. Runs on the worker of that name continue, but
// nothing is started there until its row is valid again.
func (p *Pool) takeForeignRow(name string, err error) {
	fault := fleet.RowUnreadable
	var rowError *fleet.RowError
	if errors.As(err, &rowError) {
		fault = rowError.Fault
	}
	p.record.Count("foreign_rows", string(fault))
	p.foreign.faults[name] = fault
	p.distrust(name)
}

// distrust stops new placements on a worker whose row is invalid or names another pool.
func (p *Pool) distrust(name string) {
	w := p.workers[name]
	if w == nil || !w.hasRow {
		return
	}
	w.claimedIncarnation = nil
	// The worker did not announce its departure, so losing it counts as unplanned.
	w.rowMissing = true
	p.markUnlisted(w)
}

// tellForeignRows logs the number of invalid worker rows when it has changed.
func (p *Pool) tellForeignRows() {
	now, count := p.loop.Now(), len(p.foreign.faults)
	if count == p.foreign.told || now.Sub(p.foreign.toldAt) < foreignRowsPause {
		return
	}
	p.foreign.told, p.foreign.toldAt = count, now
	p.record.Set("foreign_rows", int64(count))
	name, fault := p.foreign.example()
	p.record.Decided("rows of another writer", "rows", count, "example", name, "fault", string(fault))
}

// example returns the invalid row with the lowest name.
func (f *foreignRows) example() (string, fleet.RowFault) {
	first := ""
	for name := range f.faults {
		if first == "" || name < first {
			first = name
		}
	}
	return first, f.faults[first]
}
