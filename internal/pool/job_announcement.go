package pool

import "github.com/wheatroad/wheatroad/internal/rows"

// HandleJobAnnouncement applies the row of an accepted job ahead of the change feed. The node that
// wrote the row announces it, because the feed may stall while the store still accepts writes.
//
// Rows at or below the feed's version are ignored, because the feed has already delivered them.
// Otherwise a job whose rows have been removed since would run again.
func (p *Pool) HandleJobAnnouncement(row rows.Row) {
	if p.closed || !p.loaded || row.Version <= p.jobsVersion {
		return
	}
	p.record.Count("announcements", "taken")
	p.applyJobRow(row, nil)
}
