package pool

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wheatroad/wheatroad/internal/fleet"
)

// foreignRows are the workers' rows that name no worker to use, as another writer left them.
type foreignRows struct {
	// faults has the fault of each by its name.
	faults map[string]fleet.RowFault
	// told is how many there were when that was last logged, at toldAt.
	told   int
	toldAt time.Time
}

// foreignRowsPause is the least time between two lines about rows of another writer. They may come
// by the thousand, and change with each heartbeat.
const foreignRowsPause = 10 * time.Second

// takeForeignRow notes a row that names no worker to use. What runs on the worker of that name goes
// on under its lease; nothing new is started there until its own row is back.
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

// distrust lets nothing start on a worker whose row does not name it any more.
func (p *Pool) distrust(name string) {
	w := p.workers[name]
	if w == nil || !w.listed {
		return
	}
	w.claimed = nil
	// It did not leave by plan: if it is lost, that counts as any other loss.
	w.missing = true
	p.unlistNow(w)
}

// tellForeignRows logs how many rows there are of another writer, once their number has changed.
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

// example returns the first of the rows by name.
func (f *foreignRows) example() (string, fleet.RowFault) {
	first := ""
	for name := range f.faults {
		if first == "" || name < first {
			first = name
		}
	}
	return first, f.faults[first]
}
