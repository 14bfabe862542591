package pool

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wheatroad/wheatroad/internal/mechanism"
	"github.com/wheatroad/wheatroad/internal/rows"
)

// scanPrefix reads the rows of a partition whose names have a prefix, and retries with backoff
// until it succeeds.
func (p *Pool) scanPrefix(table, part, prefix string, done func(rows.Listing)) {
	p.scanWithRetry(table, part, prefix, retryDelay, done)
}

// scanPartition reads all rows of a partition, and retries with backoff until it succeeds.
func (p *Pool) scanPartition(table, part string, pause time.Duration, done func(rows.Listing)) {
	p.scanWithRetry(table, part, "", pause, done)
}

func (p *Pool) scanWithRetry(table, part, prefix string, pause time.Duration, done func(rows.Listing)) {
	p.ports.Scan(table, part, prefix, func(listing rows.Listing, err error) {
		if p.closed {
			return
		}
		if err != nil {
			p.record.Count("retries", "scan")
			p.storeRetries.After(pause, func() { p.scanWithRetry(table, part, prefix, nextRetryDelay(pause), done) })
			return
		}
		p.recordStoreAnswer()
		done(listing)
	})
}

func nextRetryDelay(pause time.Duration) time.Duration { return min(2*pause, maxRetryDelay) }

// recordFeedVersion records the version up to which a table's change feed was read.
func (p *Pool) recordFeedVersion(table string, version int64) {
	if table == JobTable {
		p.jobsVersion = version
		p.removedJobs.forget(version)
	}
}

// recordWorkersReadAt records the time as of which the worker rows are known. This is the time of
// the request, since the response may have been delayed in this process.
func (p *Pool) recordWorkersReadAt(table string, requestedAt time.Time) {
	if table == p.ports.WorkerTable() && requestedAt.After(p.workersReadAt) {
		p.workersReadAt = requestedAt
	}
}

// followFeed reads a table's change feed until the pool stops. If the store no longer has the
// history after the given version, followFeed calls reload, which has to read the whole table.
func (p *Pool) followFeed(table string, after int64, pause time.Duration, apply func(rows.Row), reload func()) {
	if p.closed {
		return
	}
	p.recordFeedVersion(table, after)
	requestedAt := p.loop.Now()
	p.ports.Feed(table, after, func(listing rows.Listing, err error) {
		switch {
		case p.closed:
		case errors.Is(err, rows.ErrHistoryExpired):
			p.record.Count("feed_gaps", table)
			p.record.LogEvent("feed history expired", "table", table, "after", after)
			reload()
		case err != nil:
			p.record.Count("retries", "feed")
			p.storeRetries.After(pause, func() { p.followFeed(table, after, nextRetryDelay(pause), apply, reload) })
		default:
			p.recordStoreAnswer()
			for i := range listing.Rows {
				apply(listing.Rows[i])
			}
			if len(listing.Rows) < workerFeedBurst {
				// A full response may leave out later changes.
				p.recordWorkersReadAt(table, requestedAt)
			}
			p.afterDelay(p.feedDelay(table, listing), func() { p.followFeed(table, listing.Version, retryDelay, apply, reload) })
		}
	})
}

// workerFeedInterval is the delay between a response of the worker feed and the next request. Every
// heartbeat completes a request, so without the delay the feed would dominate the calls to the
// store. The delay is short compared with the notice of a drain, which is at least 2 s.
const workerFeedInterval = 200 * time.Millisecond

// workerFeedBurst is the number of rows in a response from which the next request follows without
// delay, so that the feed keeps up in a large pool. It is half of the maximum number of rows in a
// response. Full responses with a delay after each would be slower than the heartbeats of a pool
// of more than some 3,000 workers.
const workerFeedBurst = 250

// afterDelay calls next after a delay, or immediately if the delay is 0.
func (p *Pool) afterDelay(pause time.Duration, next func()) {
	if pause == 0 {
		next()
		return
	}
	p.loop.After(pause, next)
}

// feedDelay returns the delay between a feed's response and the next request.
func (p *Pool) feedDelay(table string, answer rows.Listing) time.Duration {
	count := len(answer.Rows)
	if table != p.ports.WorkerTable() || count == 0 || count >= workerFeedBurst || p.options.DisabledMechanisms[mechanism.HeartbeatBatching] {
		return 0
	}
	return workerFeedInterval
}

// readRows fences and reads the progress partitions, then reads the jobs and follows their feed.
func (p *Pool) readRows() {
	var progress []rows.Row
	remaining := progressPartitions
	for part := range progressPartitions {
		p.writer.fencePartition(part, func() {
			p.scanPartition(ProgressTable, progressPartition(p.options.Pool, part), retryDelay, func(listing rows.Listing) {
				progress = append(progress, listing.Rows...)
				if remaining--; remaining == 0 {
					p.readJobs(progress)
				}
			})
		})
	}
}

func (p *Pool) readJobs(progress []rows.Row) {
	p.progressFencedAt = p.loop.Now()
	p.kept.continueWatch()
	p.readJobTable(func(jobs rows.Listing) {
		p.load(progress, jobs)
		p.followJobs(jobs.Version)
	})
}

func (p *Pool) load(progress []rows.Row, jobs rows.Listing) {
	records := map[string]Progress{}
	for i := range progress {
		row := &progress[i]
		if row.Name == headRow {
			continue
		}
		record, err := DecodeProgress(row)
		if err != nil {
			p.record.Count("refusals", "progress_row_invalid")
			continue
		}
		if known, found := records[row.Name]; !found || record.NewerThan(&known) {
			records[row.Name] = record
		}
	}
	p.applyJobListing(jobs, records)
	for id := range records {
		if p.jobs[id] == nil {
			p.writer.remove(id)
		}
	}
	p.loaded = true
	p.record.Observe("takeover", p.loop.Now().Sub(p.acquiredAt))
	p.record.LogEvent("pool state loaded", "pool", p.options.Pool, "jobs", len(p.jobs), "version", jobs.Version)
	p.contactAll()
	p.scheduleCycle()
}

func (p *Pool) followJobs(after int64) {
	p.followFeed(JobTable, after, retryDelay, func(row rows.Row) { p.applyJobTableRow(row, nil) }, func() {
		p.readJobTable(func(listing rows.Listing) {
			p.applyJobListing(listing, nil)
			p.followJobs(listing.Version)
		})
	})
}

// applyJobListing applies a listing of the job table in the order of the rows' versions.
func (p *Pool) applyJobListing(listing rows.Listing, records map[string]Progress) {
	p.otherPoolsJobs = otherPoolsJobs{}
	for i := range listing.Rows {
		p.applyJobTableRow(listing.Rows[i], records)
	}
}

// applyJobTableRow applies a row of the job table. Rows must be applied in the order of their
// versions, so that the earliest accepted row of a job decides to which pool the job belongs.
func (p *Pool) applyJobTableRow(row rows.Row, records map[string]Progress) {
	name, ok := PoolOfJobPartition(row.Part)
	switch {
	case !ok:
	case name == p.options.Pool:
		p.applyJobRow(row, records)
	default:
		p.applyOtherPoolsRow(row)
	}
}

// applyJobRow applies the row of an accepted job or of a cancellation in this pool's partitions.
func (p *Pool) applyJobRow(row rows.Row, records map[string]Progress) {
	if row.Gone {
		return
	}
	if id, ok := strings.CutSuffix(row.Name, cancelledSuffix); ok {
		if !p.removedJobs.removedAfter(id, &row) {
			p.applyCancel(id)
		}
		return
	}
	id, ok := strings.CutSuffix(row.Name, acceptedSuffix)
	if !ok || p.jobs[id] != nil || p.removedJobs.removedAfter(id, &row) {
		return
	}
	if earlier, found := p.otherPoolsJobs.acceptedBefore(id, row.Version); found {
		p.ignoreCopy(id, &row, earlier)
		return
	}
	var accepted Accepted
	if err := json.Unmarshal(row.Value, &accepted); err != nil || accepted.Spec.ID != id || accepted.Spec.Validate() != nil {
		p.record.Count("refusals", "job_row_invalid")
		return
	}
	accepted.Queue = accepted.Queue.Clamped()
	record := records[id]
	if !record.validFor(&accepted.Spec) {
		p.record.Count("refusals", "progress_row_invalid")
		record = Progress{}
	}
	p.addJob(id, accepted, record)
}
