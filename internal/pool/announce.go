package pool

import "github.com/wheatroad/wheatroad/internal/rows"

// TakeAnnounced takes in the row of an accepted job that the accepting node has written,
// ahead of the feed. The feed may be silent for seconds while the store takes writes.
//
// A row at a version that the feed has passed is ignored: the feed brought it, and it may
// belong to a job whose rows are removed by now, which would run again.
func (p *Pool) TakeAnnounced(row rows.Row) {
	if p.gone || !p.loaded || row.Version <= p.jobsVersion {
		return
	}
	p.record.Count("announcements", "taken")
	p.applyJobRow(row, nil)
}
