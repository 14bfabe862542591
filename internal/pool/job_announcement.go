package pool

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/wheatroad/wheatroad/internal/rows"
)

// announcements holds the rows of accepted jobs that other nodes announced ahead of the change feed,
// by job. A node that wrote the row announces it, because the feed may stall while the store still
// accepts writes.
type announcements struct {
	pending map[string]rows.Row
	// scheduled is true while a verification of the pending rows is scheduled.
	scheduled bool
}

// announcementPatience is how long the feed may take to deliver an announced row before the owner
// verifies the row instead. The feed usually takes a few milliseconds.
const announcementPatience = 40 * time.Millisecond

// HandleJobAnnouncement applies the row of an accepted job ahead of the change feed, unless the feed
// delivers it soon.
//
// Rows at or below the feed's version are ignored, because the feed has already delivered them.
// Otherwise a job whose rows have been removed since would run again.
func (p *Pool) HandleJobAnnouncement(row rows.Row) {
	id, ok := strings.CutSuffix(row.Name, acceptedSuffix)
	if !ok || p.closed || !p.loaded || row.Version <= p.jobsVersion || p.jobs[id] != nil {
		return
	}
	p.verifyAfter(announcementPatience, id, row)
}

// verifyAfter schedules the verification of an announced row.
func (p *Pool) verifyAfter(pause time.Duration, id string, row rows.Row) {
	p.announcements.pending[id] = row
	if !p.announcements.scheduled {
		p.announcements.scheduled = true
		p.loop.After(pause, p.verifyAnnouncements)
	}
}

// verifyAnnouncements applies the announced rows that the feed has not delivered, once it has read
// whether another pool accepted one of their jobs before. The feed would have delivered such a row
// first.
func (p *Pool) verifyAnnouncements() {
	p.announcements.scheduled = false
	announced := p.announcements.pending
	p.announcements.pending = map[string]rows.Row{}
	maps.DeleteFunc(announced, func(id string, row rows.Row) bool { return row.Version <= p.jobsVersion || p.jobs[id] != nil })
	if p.closed || len(announced) == 0 {
		return
	}
	p.tryListOtherPartitions(func(others []string, err error) {
		if err != nil {
			p.record.Count("retries", "list_partitions")
		}
		for _, id := range slices.Sorted(maps.Keys(announced)) {
			if err != nil {
				p.verifyAfter(retryDelay, id, announced[id])
				continue
			}
			p.verifyAnnouncement(id, announced[id], others)
		}
	})
}

// verifyAnnouncement reads a job's rows in the given partitions of other pools, and then applies its
// announced row. If a read fails, the row is verified again.
func (p *Pool) verifyAnnouncement(id string, row rows.Row, others []string) {
	candidates := slices.DeleteFunc(slices.Clone(others), func(part string) bool {
		name, _ := PoolOfJobPartition(part)
		return !slices.Contains(JobPartitions(name, id), part)
	})
	remaining, failed := len(candidates), false
	if remaining == 0 {
		p.applyAnnouncement(id, row)
		return
	}
	for _, part := range candidates {
		p.ports.Scan(JobTable, part, id, func(listing rows.Listing, err error) {
			failed = failed || err != nil
			for i := range listing.Rows {
				p.applyOtherPoolsRow(listing.Rows[i])
			}
			switch remaining--; {
			case remaining > 0:
			case failed:
				p.record.Count("retries", "scan")
				p.verifyAfter(retryDelay, id, row)
			default:
				p.applyAnnouncement(id, row)
			}
		})
	}
}

// applyAnnouncement applies a verified row unless the feed has delivered it meanwhile. If another
// pool accepted the job before, the feed decides, as that pool may have removed its job since.
func (p *Pool) applyAnnouncement(id string, row rows.Row) {
	if _, elsewhere := p.otherPoolsJobs.acceptedBefore(id, row.Version); elsewhere || p.closed || row.Version <= p.jobsVersion {
		return
	}
	p.record.Count("announcements", "taken")
	p.applyJobRow(row, nil)
}
