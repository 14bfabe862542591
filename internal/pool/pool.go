package pool

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wheatroad/wheatroad/internal/loop"
	"github.com/wheatroad/wheatroad/internal/rows"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// Periods of the owner's own work.
const (
	tickPeriod    = 250 * time.Millisecond
	retryPause    = 150 * time.Millisecond
	retryPauseMax = time.Second
	// retentionMargin is added to how long ended jobs are kept.
	retentionMargin = 60 * time.Second
)

// Pool is the owner's state of one pool. All methods run on the loop.
type Pool struct {
	options Options
	loop    loop.Loop
	ports   Ports
	record  Recorder
	// token is the version of the lease row that this owner wrote.
	token   int64
	jobs    map[string]*job
	workers map[string]*worker
	writer  writer
	// loaded is true once rows are read; orders go out only then.
	loaded    bool
	gone      bool
	releasing bool
	waking    bool
	// storeAnsweredAt is when the store last answered.
	storeAnsweredAt time.Time
	// pressureUntil is how long patient units below pressurePriority wait.
	pressureUntil    time.Time
	pressurePriority int
	// dropping is true while the rows of an old job are removed.
	dropping bool
	// earlyCancels are cancellations read before their job.
	earlyCancels map[string]bool
}

// New returns the state of a pool whose lease was acquired at version token, which
// is also the version of the head row.
func New(options Options, l loop.Loop, ports Ports, record Recorder, token int64) *Pool {
	p := &Pool{
		options: options, loop: l, ports: ports, record: record, token: token,
		jobs: map[string]*job{}, workers: map[string]*worker{},
		storeAnsweredAt: l.Now(), earlyCancels: map[string]bool{},
	}
	p.writer = writer{pool: p}
	return p
}

// Acquire returns the transaction that takes a pool whose lease row stands at
// version, which is rows.Absent if there is none.
func Acquire(options Options, version int64, nonce string) rows.Transaction {
	lease := Lease{Owner: options.Node, Incarnation: options.Incarnation, Address: options.Address, Nonce: nonce}
	return rows.Transaction{
		Conditions: []rows.Condition{{Key: LeaseKey(options.Pool), Version: version}},
		Puts:       []rows.Put{{Key: LeaseKey(options.Pool), Value: mustEncode(lease)}},
	}
}

// Start reads the pool's rows and goes to work.
func (p *Pool) Start() {
	p.record.Count("takeovers", "acquired")
	p.record.Decided("pool acquired", "pool", p.options.Pool, "token", p.token)
	p.readWorkers()
	p.readRows()
	p.tick()
}

// Token returns the owner's fencing token.
func (p *Pool) Token() int64 { return p.token }

// StoreAge returns how long ago the store last answered this owner.
func (p *Pool) StoreAge() time.Duration { return p.loop.Now().Sub(p.storeAnsweredAt) }

// Abandon ends the owner's work at once; nothing that runs is touched.
func (p *Pool) Abandon(reason string) {
	if p.gone {
		return
	}
	p.gone = true
	p.record.Count("takeovers", "lost")
	p.record.Decided("pool lost", "pool", p.options.Pool, "token", p.token, "reason", reason)
	p.options.Ended(reason)
}

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
			p.loop.After(pause, func() { p.scanUntil(table, part, prefix, nextPause(pause), done) })
			return
		}
		p.storeAnsweredAt = p.loop.Now()
		done(listing)
	})
}

func nextPause(pause time.Duration) time.Duration { return min(2*pause, retryPauseMax) }

// follow reads a table's changes for ever. On lost history it calls again.
func (p *Pool) follow(table string, after int64, pause time.Duration, apply func(rows.Row), again func()) {
	if p.gone {
		return
	}
	p.ports.Feed(table, after, func(listing rows.Listing, err error) {
		switch {
		case p.gone:
		case errors.Is(err, rows.ErrHistoryGone):
			p.record.Count("feed_gaps", table)
			p.record.Decided("feed read anew", "table", table, "after", after)
			again()
		case err != nil:
			p.record.Count("retries", "feed")
			p.loop.After(pause, func() { p.follow(table, after, nextPause(pause), apply, again) })
		default:
			p.storeAnsweredAt = p.loop.Now()
			for i := range listing.Rows {
				apply(listing.Rows[i])
			}
			p.follow(table, listing.Version, retryPause, apply, again)
		}
	})
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
	if err := json.Unmarshal(row.Value, &accepted); err != nil {
		p.record.Count("refusals", "job_row_invalid")
		return
	}
	p.addJob(id, accepted, records[id])
}

func (p *Pool) addJob(id string, accepted Accepted, record Progress) {
	now := p.loop.Now()
	age := max(0, now.Sub(accepted.AcceptedAt()))
	j := newJob(id, accepted, now.Add(-age))
	p.jobs[id] = j
	if record.State.Final() {
		j.state, j.next = record.State, record.State
		j.endedAt = time.UnixMilli(record.EndedMillis)
		return
	}
	j.timeAt(0)
	if record.State != "" {
		j.state, j.next = record.State, record.State
		p.restore(j, record)
	}
	if p.earlyCancels[id] {
		p.applyCancel(id)
		return
	}
	p.advance(j)
	p.wake()
}

// restore takes over what an earlier owner wrote of a job.
func (p *Pool) restore(j *job, record Progress) {
	for i := range record.Steps {
		saved := &record.Steps[i]
		t := j.timeAt(saved.Time)
		if saved.Step >= len(t.steps) {
			continue
		}
		p.restoreStep(j, t, t.steps[saved.Step], saved)
	}
}

func (p *Pool) restoreStep(j *job, t *jobTime, s *step, saved *stepProgress) {
	j.begun = true
	if saved.Complete {
		s.complete = true
		t.ended++
		return
	}
	s.createUnits(j, t, p.loop.Now())
	for _, u := range s.units {
		if bitset(saved.Ended).has(u.index) {
			u.state = unitEnded
			s.ended++
		}
	}
	for _, savedUnit := range saved.Units {
		if savedUnit.Index < len(s.units) {
			p.restoreUnit(s.units[savedUnit.Index], savedUnit)
		}
	}
}

// restoreUnit assumes that the unit runs where its row says until its workers have
// answered.
func (p *Pool) restoreUnit(u *unit, saved unitProgress) {
	u.run, u.failures, u.checkpoint = saved.Run, saved.Failures, saved.Checkpoint
	for i, id := range saved.Workers {
		if id == "" || i >= len(u.members) {
			continue
		}
		w := p.workers[id]
		if w == nil {
			w = p.unlistedWorker(id)
		}
		p.assign(u.members[i], w)
		u.members[i].state = memberUncertain
		u.state = unitActive
	}
	if u.state == unitActive {
		u.startedAt = p.loop.Now()
	}
}

// advance creates the units of all steps that may start.
func (p *Pool) advance(j *job) {
	if j.next.Final() {
		return
	}
	now := p.loop.Now()
	for k := 0; k < j.Spec.Times(); k++ {
		due := j.Spec.Due(k)
		if !due.IsZero() && due.After(p.loop.Now()) {
			p.loop.After(due.Sub(p.loop.Now())+dueMargin, func() { p.advance(j); p.wake() })
			break
		}
		t := j.timeAt(k)
		for _, s := range t.steps {
			if s.units == nil && !s.complete && t.earlierEnded(s) {
				s.createUnits(j, t, now)
			}
		}
	}
}

// dueMargin keeps a start from coming before its time on a slow clock.
const dueMargin = 5 * time.Millisecond

func (t *jobTime) earlierEnded(s *step) bool {
	for _, earlier := range s.spec.After {
		if !t.steps[earlier].complete {
			return false
		}
	}
	return true
}

// applyCancel ends a job because a caller asked for it.
func (p *Pool) applyCancel(id string) {
	j := p.jobs[id]
	if j == nil {
		p.earlyCancels[id] = true
		return
	}
	if j.cancelled || j.next.Final() {
		return
	}
	j.cancelled = true
	p.record.Decided("job cancelled", "job", id)
	p.finishJob(j, taskgraph.Cancelled)
}

// finishJob gives a job its final state and stops what still runs of it.
func (p *Pool) finishJob(j *job, state taskgraph.State) {
	j.next = state
	j.endedAt = p.loop.Now()
	for _, t := range j.times {
		for _, s := range t.steps {
			for _, u := range s.units {
				p.dropUnit(u, string(state))
			}
		}
	}
	p.record.Count("job_transitions", string(state))
	p.record.Decided("job ended", "job", j.id, "state", string(state), "age_ms", p.loop.Now().Sub(j.acceptedAt).Milliseconds())
	p.persist(j)
}

func (p *Pool) dropUnit(u *unit, reason string) {
	switch u.state {
	case unitWaiting, unitCommitting:
		p.clearMembers(u)
		u.state = unitEnded
	case unitActive:
		p.stopUnit(u, reason)
	}
}

// tick does what has no event of its own.
func (p *Pool) tick() {
	if p.gone {
		return
	}
	p.checkWorkers()
	p.checkStops()
	p.checkLeaving()
	p.checkUnits()
	p.dropOldJobs()
	p.wake()
	p.loop.After(tickPeriod, p.tick)
}

// dropOldJobs removes the rows of a job that ended long ago. Its progress goes
// last, so that the job cannot appear to be new.
func (p *Pool) dropOldJobs() {
	if p.dropping || p.releasing {
		return
	}
	limit := p.loop.Now().Add(-p.options.Bounds.StatusRetention - retentionMargin)
	for id, j := range p.jobs {
		if j.state.Final() && j.endedAt.Before(limit) {
			p.dropJob(id)
			return
		}
	}
}

func (p *Pool) dropJob(id string) {
	p.dropping = true
	parts := JobParts(p.options.Pool, id)
	left, failed := len(parts), false
	for _, part := range parts {
		removes := []rows.Key{AcceptedKey(part, id), CancelledKey(part, id)}
		p.ports.Commit(rows.Transaction{Removes: removes}, func(_ rows.Result, err error) {
			failed = failed || err != nil
			if left--; left > 0 {
				return
			}
			p.dropping = false
			if p.gone || failed {
				return
			}
			delete(p.jobs, id)
			p.writer.remove(id)
		})
	}
}

// State returns what the store says of a job; the result is false if this owner
// does not know the job.
func (p *Pool) State(id string) (taskgraph.State, bool) {
	j := p.jobs[id]
	if j == nil || !p.loaded {
		return "", false
	}
	if !j.state.Final() && j.begun {
		return taskgraph.Running, true
	}
	return j.state, true
}

// Waiting returns how many jobs of each queue have no task begun.
func (p *Pool) Waiting() map[string]int {
	counts := map[string]int{}
	for _, j := range p.jobs {
		if !j.begun && !j.next.Final() {
			counts[j.Queue.Name]++
		}
	}
	return counts
}

// Loaded reports whether the pool's rows are read.
func (p *Pool) Loaded() bool { return p.loaded }

// sortedWorkers returns the workers in the order of their names.
func (p *Pool) sortedWorkers() []*worker {
	sorted := make([]*worker, 0, len(p.workers))
	for _, w := range p.workers {
		sorted = append(sorted, w)
	}
	slices.SortFunc(sorted, func(a, b *worker) int { return strings.Compare(a.ID, b.ID) })
	return sorted
}

// Release hands the pool back: once all writes are done the lease row names no
// owner. What runs goes on under the next owner.
func (p *Pool) Release() {
	if p.gone || p.releasing {
		return
	}
	p.releasing = true
	p.releaseWhenIdle()
}

func (p *Pool) releaseWhenIdle() {
	if p.gone {
		return
	}
	if p.writer.busy() {
		p.loop.After(releasePause, p.releaseWhenIdle)
		return
	}
	p.ports.Commit(rows.Transaction{
		Conditions: []rows.Condition{{Key: LeaseKey(p.options.Pool), Version: p.token}},
		Puts:       []rows.Put{{Key: LeaseKey(p.options.Pool), Value: mustEncode(Lease{})}},
	}, func(_ rows.Result, err error) {
		if p.gone {
			return
		}
		if err != nil {
			p.loop.After(retryPause, p.releaseWhenIdle)
			return
		}
		p.Abandon("handed back")
	})
}

// releasePause is the pause between two looks whether all writes are done.
const releasePause = 20 * time.Millisecond
