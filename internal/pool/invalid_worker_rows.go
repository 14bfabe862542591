package pool

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wheatroad/wheatroad/internal/fleet"
)

// invalidWorkerRows tracks invalid worker rows and when their number was last logged.
type invalidWorkerRows struct {
	// faults holds the fault of each invalid row by row name.
	faults map[string]fleet.RowFault
	// loggedCount is the number of invalid rows that was last logged, at loggedAt.
	loggedCount int
	loggedAt    time.Time
}

// invalidRowsLogInterval is the minimum time between log lines about invalid rows. The number of
// invalid rows may change with each heartbeat.
const invalidRowsLogInterval = 10 * time.Second

// handleInvalidWorkerRow records an invalid worker row. Runs on the worker continue, but the owner
// starts nothing on the worker until the row is valid again.
func (p *Pool) handleInvalidWorkerRow(name string, err error) {
	fault := fleet.RowUnreadable
	var rowError *fleet.RowError
	if errors.As(err, &rowError) {
		fault = rowError.Fault
	}
	p.record.Count("foreign_rows", string(fault))
	p.invalidRows.faults[name] = fault
	p.suspendPlacement(name)
}

// suspendPlacement stops new placements on a worker whose row is invalid or names another pool.
func (p *Pool) suspendPlacement(name string) {
	w := p.workers[name]
	if w == nil || !w.hasRow {
		return
	}
	w.unverifiedRow = nil
	// The worker did not announce its departure, so losing it counts as unplanned.
	w.rowMissing = true
	p.markUnlisted(w)
}

// logInvalidWorkerRows logs the number of invalid worker rows when it has changed.
func (p *Pool) logInvalidWorkerRows() {
	now, count := p.loop.Now(), len(p.invalidRows.faults)
	if count == p.invalidRows.loggedCount || now.Sub(p.invalidRows.loggedAt) < invalidRowsLogInterval {
		return
	}
	p.invalidRows.loggedCount, p.invalidRows.loggedAt = count, now
	p.record.Set("foreign_rows", int64(count))
	name, fault := p.invalidRows.example()
	p.record.LogEvent("invalid worker rows", "rows", count, "example", name, "fault", string(fault))
}

// example returns the invalid row with the lowest name.
func (f *invalidWorkerRows) example() (string, fleet.RowFault) {
	first := ""
	for name := range f.faults {
		if first == "" || name < first {
			first = name
		}
	}
	return first, f.faults[first]
}
