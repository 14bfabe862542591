package pool

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wheatroad/wheatroad/internal/mechanism"
	"github.com/wheatroad/wheatroad/internal/rows"
)

// scanPrefix is scanAll for names with a prefix.
func (p *Pool) scanPrefix(table, part, prefix string, done func(rows.Listing)) {
	p.scanUntil(table, part, prefix, retryPause, done)
}

// scanAll repeats a scan until it answers.
func (p *Pool) scanAll(table, part string, pause time.Duration, done func(rows.Listing)) {
	p.scanUntil(table, part, "", pause, done)
}

func (p *Pool) scanUntil(table, part, prefix string, pause time.Duration, done func(rows.Listing)) {
	p.ports.Scan(table, part, prefix, func(listing rows.Listing, err error) {
		if p.gone {
			return
		}
		if err != nil {
			p.record.Count("retries", "scan")
			p.storeRetries.After(pause, func() { p.scanUntil(table, part, prefix, nextPause(pause), done) })
			return
		}
		p.noteStore()
		done(listing)
	})
}

func nextPause(pause time.Duration) time.Duration { return min(2*pause, retryPauseMax) }

// passed notes up to which version a table's changes were read.
func (p *Pool) passed(table string, version int64) {
	if table == JobTable {
		p.jobsVersion = version
	}
}

// noteListing notes as of when a table is known: the answer may have waited for this process
// since it was asked for.
func (p *Pool) noteListing(table string, askedAt time.Time) {
	if table == p.ports.WorkerTable() && askedAt.After(p.workersAsOf) {
		p.workersAsOf = askedAt
	}
}

// follow reads a table's changes for ever. On lost history it calls again.
func (p *Pool) follow(table string, after int64, pause time.Duration, apply func(rows.Row), again func()) {
	if p.gone {
		return
	}
	p.passed(table, after)
	askedAt := p.loop.Now()
	p.ports.Feed(table, after, func(listing rows.Listing, err error) {
		switch {
		case p.gone:
		case errors.Is(err, rows.ErrHistoryGone):
			p.record.Count("feed_gaps", table)
			p.record.Decided("feed read anew", "table", table, "after", after)
			again()
		case err != nil:
			p.record.Count("retries", "feed")
			p.storeRetries.After(pause, func() { p.follow(table, after, nextPause(pause), apply, again) })
		default:
			p.noteStore()
			for i := range listing.Rows {
				apply(listing.Rows[i])
			}
			p.noteListing(table, askedAt)
			p.followAfter(p.feedPause(table, listing), func() { p.follow(table, listing.Version, retryPause, apply, again) })
		}
	})
}

// workerFeedPause is the pause between an answer of the workers' feed and the next question. Each
// heartbeat ends the feed, though it tells nothing new: with 350 workers it was asked for 132
// times a second, 8,110 of 12,086 calls to the store on a calm day; with the pause it takes 4,289
// calls in place of 11,766 (one seed, both ways). A drain is known that much later, of at least
// 2 s that the platform's sites give.
const workerFeedPause = 200 * time.Millisecond

// workerFeedFull is how many rows an answer has after which there is no pause: half of what the
// platform gives at once. More than 3,000 workers write faster than full answers with pauses
// bring their rows.
const workerFeedFull = 250

// followAfter goes on with a feed after a pause, or at once.
func (p *Pool) followAfter(pause time.Duration, next func()) {
	if pause == 0 {
		next()
		return
	}
	p.loop.After(pause, next)
}

// feedPause is how long the owner leaves a table alone after an answer.
func (p *Pool) feedPause(table string, answer rows.Listing) time.Duration {
	count := len(answer.Rows)
	if table != p.ports.WorkerTable() || count == 0 || count >= workerFeedFull || p.options.Off[mechanism.PacedFeeds] {
		return 0
	}
	return workerFeedPause
}

// readRows claims and reads the progress, then reads the jobs and follows them.
func (p *Pool) readRows() {
	var progress []rows.Row
	left := progressParts
	for part := range progressParts {
		p.writer.claim(part, func() {
			p.scanAll(ProgressTable, progressPart(p.options.Pool, part), retryPause, func(listing rows.Listing) {
				progress = append(progress, listing.Rows...)
				if left--; left == 0 {
					p.readJobs(progress)
				}
			})
		})
	}
}

func (p *Pool) readJobs(progress []rows.Row) {
	p.claimedAt = p.loop.Now()
	p.scanJobs(func(jobs rows.Listing) {
		p.load(progress, jobs)
		p.followJobs(jobs.Version)
	})
}

// scanJobs reads all parts of the table of jobs as one listing, whose version is
// the lowest of the parts'.
func (p *Pool) scanJobs(done func(rows.Listing)) {
	all := rows.Listing{}
	left := jobParts
	for number := range jobParts {
		p.scanAll(JobTable, jobPart(p.options.Pool, number), retryPause, func(listing rows.Listing) {
			all.Rows = append(all.Rows, listing.Rows...)
			if all.Version == 0 || listing.Version < all.Version {
				all.Version = listing.Version
			}
			if left--; left == 0 {
				done(all)
			}
		})
	}
}

func (p *Pool) load(progress []rows.Row, jobs rows.Listing) {
	records := map[string]Progress{}
	for i := range progress {
		row := &progress[i]
		if row.Name == headRow {
			continue
		}
		var record Progress
		if err := json.Unmarshal(row.Value, &record); err != nil {
			p.record.Count("refusals", "progress_row_invalid")
			continue
		}
		if known, any := records[row.Name]; !any || record.NewerThan(&known) {
			records[row.Name] = record
		}
	}
	for i := range jobs.Rows {
		p.applyJobRow(jobs.Rows[i], records)
	}
	for id := range records {
		if p.jobs[id] == nil {
			p.writer.remove(id)
		}
	}
	p.loaded = true
	p.record.Observe("takeover", p.loop.Now().Sub(p.acquiredAt))
	p.record.Decided("rows read", "pool", p.options.Pool, "jobs", len(p.jobs), "version", jobs.Version)
	p.greetAll()
	p.wake()
}

func (p *Pool) followJobs(after int64) {
	p.follow(JobTable, after, retryPause, func(row rows.Row) {
		if strings.HasPrefix(row.Part, p.options.Pool+partSeparator) {
			p.applyJobRow(row, nil)
		}
	}, func() {
		p.scanJobs(func(listing rows.Listing) {
			for i := range listing.Rows {
				p.applyJobRow(listing.Rows[i], nil)
			}
			p.followJobs(listing.Version)
		})
	})
}

// applyJobRow takes in an accepted job or a cancellation.
func (p *Pool) applyJobRow(row rows.Row, records map[string]Progress) {
	if row.Gone {
		return
	}
	if id, ok := strings.CutSuffix(row.Name, cancelledSuffix); ok {
		p.applyCancel(id)
		return
	}
	id, ok := strings.CutSuffix(row.Name, acceptedSuffix)
	if !ok || p.jobs[id] != nil {
		return
	}
	var accepted Accepted
	if err := json.Unmarshal(row.Value, &accepted); err != nil || accepted.Spec.ID != id || accepted.Spec.Validate() != nil {
		p.record.Count("refusals", "job_row_invalid")
		return
	}
	record := records[id]
	if !record.fits(&accepted.Spec) {
		p.record.Count("refusals", "progress_row_invalid")
		record = Progress{}
	}
	p.addJob(id, accepted, record)
}
