package pool

import "github.com/wheatroad/wheatroad/internal/rows"

// HandleJobAnnouncement applies the row of an accepted job as announced by the node that wrote it,
// ahead of the change feed, which may stall for seconds while the store still accepts writes.
//
// Rows at or below the feed's version are ignored: the feed has delivered them already, and
// a job whose rows have been removed since would run again.
func (p *Pool) HandleJobAnnouncement(row rows.Row) {
	if p.closed || !p.loaded || row.Version <= p.jobsVersion {
		return
	}
	p.record.Count("announcements", "taken")
	p.applyJobRow(row, nil)
}
