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
	// verifying is true while a verification is scheduled or in flight.
	verifying bool
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
	p.announcements.pending[id] = row
	p.scheduleAnnouncementVerification(announcementPatience)
}

func (p *Pool) scheduleAnnouncementVerification(pause time.Duration) {
	if p.announcements.verifying {
		return
	}
	p.announcements.verifying = true
	p.loop.After(pause, p.verifyAnnouncements)
}

// verifyAnnouncements applies the announced rows that the feed has not delivered, once it has read
// whether another pool accepted one of their jobs before. The feed would have delivered such a row
// first.
func (p *Pool) verifyAnnouncements() {
	p.announcements.verifying = false
	p.dropDeliveredAnnouncements()
	if p.closed || len(p.announcements.pending) == 0 {
		return
	}
	p.announcements.verifying = true
	announced := slices.Sorted(maps.Keys(p.announcements.pending))
	p.tryListOtherPartitions(func(others []string, err error) {
		p.announcements.verifying = false
		if err != nil {
			p.record.Count("retries", "list_partitions")
			p.scheduleAnnouncementVerification(retryDelay)
			return
		}
		for _, id := range announced {
			p.verifyAnnouncement(id, others)
		}
	})
}

// dropDeliveredAnnouncements drops the announced rows that the feed has delivered since.
func (p *Pool) dropDeliveredAnnouncements() {
	for id, row := range p.announcements.pending {
		if row.Version <= p.jobsVersion || p.jobs[id] != nil {
			delete(p.announcements.pending, id)
		}
	}
}

// verifyAnnouncement reads a job's rows in the given partitions of other pools, and then applies its
// announced row. If a read fails, the row is verified again.
func (p *Pool) verifyAnnouncement(id string, others []string) {
	candidates := slices.DeleteFunc(slices.Clone(others), func(part string) bool {
		name, _ := PoolOfJobPartition(part)
		return !slices.Contains(JobPartitions(name, id), part)
	})
	remaining, failed := len(candidates), false
	if remaining == 0 {
		p.applyAnnouncement(id)
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
				p.scheduleAnnouncementVerification(retryDelay)
			default:
				p.applyAnnouncement(id)
			}
		})
	}
}

// applyAnnouncement applies a verified row unless the feed has delivered it meanwhile.
func (p *Pool) applyAnnouncement(id string) {
	row, found := p.announcements.pending[id]
	delete(p.announcements.pending, id)
	if !found || p.closed || row.Version <= p.jobsVersion {
		return
	}
	p.record.Count("announcements", "taken")
	p.applyJobRow(row, nil)
}
