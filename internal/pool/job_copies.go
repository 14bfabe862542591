package pool

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/wheatroad/wheatroad/internal/rows"
)

// A job is accepted into the pool to which its queue leads in the configuration of the accepting
// node. If the queue moves to another pool, or nodes hold different versions of the configuration,
// one job can be accepted into several pools. All its accepted rows have versions of the store's
// single counter, and the change feed delivers the rows of all pools in that order. So all owners
// agree, without another write, that a job belongs to the pool of its earliest row. The other rows
// are copies, which their pools' owners ignore and remove.

// jobCopy is an accepted row in a partition of another pool.
type jobCopy struct {
	part    string
	version int64
}

// otherPoolsJobs holds the accepted rows of other pools by job.
type otherPoolsJobs map[string][]jobCopy

func (o otherPoolsJobs) add(id string, row *rows.Row) {
	o.remove(id, row.Part)
	o[id] = append(o[id], jobCopy{part: row.Part, version: row.Version})
}

func (o otherPoolsJobs) remove(id, part string) {
	remaining := slices.DeleteFunc(o[id], func(c jobCopy) bool { return c.part == part })
	if len(remaining) == 0 {
		delete(o, id)
		return
	}
	o[id] = remaining
}

// acceptedBefore returns the row by which another pool accepted a job before a version, if any.
func (o otherPoolsJobs) acceptedBefore(id string, version int64) (jobCopy, bool) {
	for _, c := range o[id] {
		if c.version < version {
			return c, true
		}
	}
	return jobCopy{}, false
}

// applyOtherPoolsRow applies a row of a partition of another pool. A cancellation there is of a job
// of this pool if it was requested while the other pool held a copy of the job.
func (p *Pool) applyOtherPoolsRow(row rows.Row) {
	if id, ok := strings.CutSuffix(row.Name, cancelledSuffix); ok {
		if !row.Gone && p.jobs[id] != nil {
			p.applyCancel(id)
		}
		return
	}
	id, ok := strings.CutSuffix(row.Name, acceptedSuffix)
	switch {
	case !ok:
	case row.Gone:
		p.otherPoolsJobs.remove(id, row.Part)
	default:
		p.otherPoolsJobs.add(id, &row)
	}
}

// ignoreCopy ignores and removes the accepted row of a job that another pool accepted earlier. The
// row must be gone before the other pool removes its own row at the end of the job's retention.
func (p *Pool) ignoreCopy(id string, row *rows.Row, earlier jobCopy) {
	p.record.Count("refusals", "accepted_in_other_pool")
	p.record.LogEvent("job accepted in another pool before", "job", id, "part", row.Part, "revision", row.Version,
		"earlier_part", earlier.part, "earlier_revision", earlier.version)
	p.removeCopy(rows.Condition{Key: row.Key, Version: row.Version})
}

func (p *Pool) removeCopy(existing rows.Condition) {
	p.ports.Commit(rows.Transaction{Conditions: []rows.Condition{existing}, Removes: []rows.Key{existing.Key}}, func(_ rows.Result, err error) {
		if errors.Is(err, rows.ErrRejected) {
			p.record.Count("refusals", "row_removal_rejected")
			return
		}
		if err != nil && !p.closed {
			p.record.Count("retries", "remove_copy")
			p.storeRetries.After(retryDelay, func() { p.removeCopy(existing) })
		}
	})
}
