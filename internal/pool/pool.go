package pool

import (
	"slices"
	"strings"
	"time"

	"github.com/wheatroad/wheatroad/internal/compatibility"
	"github.com/wheatroad/wheatroad/internal/evacuation"
	"github.com/wheatroad/wheatroad/internal/fairshare"
	"github.com/wheatroad/wheatroad/internal/features"
	"github.com/wheatroad/wheatroad/internal/fleet"
	"github.com/wheatroad/wheatroad/internal/health"
	"github.com/wheatroad/wheatroad/internal/loop"
	"github.com/wheatroad/wheatroad/internal/poison"
	"github.com/wheatroad/wheatroad/internal/rows"
	"github.com/wheatroad/wheatroad/internal/speeds"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// Periods of the owner's loop and its retries.
const (
	tickInterval  = 250 * time.Millisecond
	retryDelay    = 150 * time.Millisecond
	maxRetryDelay = time.Second
	// retentionMargin is kept beyond Bounds.StatusRetention.
	retentionMargin = 60 * time.Second
)

// Pool is the owner's state of one pool. All methods run on the loop.
type Pool struct {
	options Options
	loop    loop.Loop
	ports   Ports
	record  Recorder
	// token is the fencing token: the version of the lease row that this owner wrote.
	token int64
	// orderToken is the highest fencing token of orders to workers: token, or a later version at which the
	// lease row was in force. raisingToken is true while a transaction that raises it is in flight.
	orderToken   int64
	raisingToken bool
	// needsCompactRows is true once a job's row has no room in the present format, and raisedFormat is the
	// format that the next owner is to write; 0 if it is the present one.
	needsCompactRows bool
	raisedFormat     compatibility.Format
	// removedWorkers holds the workers that were removed lately, by identifier.
	removedWorkers map[string]removedWorker
	acquiredAt     time.Time
	jobs           map[string]*job
	workers        map[string]*worker
	// workerOrder caches the workers sorted by name; nil once the set changes.
	workerOrder     []*worker
	snapshotBuffers snapshotBuffers
	pollQueue       pollQueue
	// heldPollDelay is the delay between two polls of a worker that lists held ends.
	heldPollDelay time.Duration
	writer        writer
	// storeRetries schedules the retries of store calls.
	storeRetries *loop.Retries
	// loaded is true once the pool's rows are read; no commands are sent before.
	loaded         bool
	closed         bool
	releasing      bool
	cycleScheduled bool
	// lastCycleEnd is when the last scheduling cycle ended, and hasBacklog is true if it left units
	// unplaced.
	lastCycleEnd time.Time
	hasBacklog   bool
	// lastCycleDuration is the duration of the last cycle.
	lastCycleDuration time.Duration
	// commandLatency is the moving average of the response time of starts.
	commandLatency time.Duration
	// lastStoreAnswerAt is the time of the store's last response.
	lastStoreAnswerAt time.Time
	// storeRecoveredAt is the time of the first response after the last outage longer than
	// storeOutageThreshold.
	storeRecoveredAt time.Time
	// preemptionBackoffUntil is when deferrable units of lower priority than
	// preemptionBackoffPriority may be placed again.
	preemptionBackoffUntil    time.Time
	preemptionBackoffPriority int
	// medianLogRunTime is the median of the workers' relative task durations, as a logarithm,
	// computed at medianAt.
	medianLogRunTime float64
	medianAt         time.Time
	// tooSlowShare is the fraction of workers of known speed that are too slow for urgent units.
	tooSlowShare float64
	// unresponsive detects that many workers become unresponsive at once.
	unresponsive unresponsiveWorkers
	// runTimeSpread is the variation of task durations within a step.
	runTimeSpread speeds.WorkVariance
	// removingExpiredJob is true while the rows of an expired job are being removed.
	removingExpiredJob bool
	// removedJobs holds the jobs whose rows this owner has removed.
	removedJobs removedJobs
	// durations holds the learned duration models of queues; estimatesRefreshedAt is when the models
	// were last applied to open jobs.
	durations            *durationModels
	estimatesRefreshedAt time.Time
	// jobsVersion is the store version up to which the job feed was read.
	jobsVersion int64
	// lossTracker correlates losses of workers, to find tasks that crash workers.
	lossTracker *poison.LossTracker
	// underusedSince is since when the pool's utilization is below idleUtilization; zero if it is not.
	underusedSince time.Time
	// health records which workers fail their runs.
	health *health.Record
	// kept and keptDurations keep what the owner has learned for the next owner, and keptSpeeds holds
	// the speeds that an earlier owner kept of machines that this owner has not listed yet.
	kept, keptDurations *keptKnowledge
	keptSpeeds          map[string]keptSpeed
	// keptAddresses holds the addresses at which workers have answered an earlier owner, by worker.
	keptAddresses map[string]keptAddress
	// progressFencedAt is when all progress partitions were fenced against former owners.
	progressFencedAt time.Time
	// hasFormerOwner is true if a progress partition had a head row of another owner. An owner sends no
	// commands before it has written the head rows.
	hasFormerOwner bool
	// ownershipConfirmedAt is when this owner last was known to hold the pool; confirmingOwnership
	// is true while a read of the lease row is in flight.
	ownershipConfirmedAt time.Time
	confirmingOwnership  bool
	// workersReadAt is the time as of which the worker rows are known.
	workersReadAt time.Time
	// evacuationsRead holds the evacuated zones as read by this owner, and reportedEvacuations the
	// zones last logged. evacuationsWereFresh is true if the zones last logged were fresh enough
	// for starts.
	evacuationsRead, reportedEvacuations         evacuation.Set
	evacuationsWereFresh, evacuationReadInFlight bool
	invalidRows                                  invalidWorkerRows
	// tenantUse is what each tenant holds and has used. shareItemsBuffer is reused by each cycle, and
	// tenantsUpdatedAt is when updateTenants last had an effect. sharesReported is true while the gauges
	// of the tenants' shares are set.
	tenantUse        *fairshare.Ledger
	shareItemsBuffer []fairshare.Item
	tenantsUpdatedAt time.Time
	sharesReported   bool
	overdueTurns     overdueTurns
	// pendingCancels holds cancellations that were read before their job.
	pendingCancels map[string]bool
	// otherPoolsJobs holds the accepted rows of other pools, up to jobsVersion at least.
	otherPoolsJobs otherPoolsJobs
	announcements  announcements
}

// New returns the state of a pool whose lease row was written at version token.
func New(options Options, l loop.Loop, ports Ports, record Recorder, token int64) *Pool {
	p := &Pool{
		options: options, loop: l, ports: ports, record: record, token: token, orderToken: token, acquiredAt: l.Now(),
		jobs: map[string]*job{}, workers: map[string]*worker{},
		lastStoreAnswerAt: l.Now(), pendingCancels: map[string]bool{},
		durations: newDurationModels(), storeRetries: loop.NewRetries(l), lossTracker: poison.NewLossTracker(), health: health.New(),
		tenantUse: fairshare.NewLedger(), overdueTurns: overdueTurns{}, removedJobs: removedJobs{}, removedWorkers: map[string]removedWorker{},
		invalidRows:    invalidWorkerRows{faults: map[string]fleet.RowFault{}},
		otherPoolsJobs: otherPoolsJobs{}, announcements: announcements{pending: map[string]rows.Row{}},
	}
	p.writer = newWriter(p)
	p.kept = newKeptKnowledge(p, p.lossTracker, p.health, p.tenantUse, &addressSection{pool: p}, &speedSection{pool: p})
	p.keptDurations = newKeptDurations(p)
	return p
}

// Acquire returns the transaction that acquires a pool whose lease row has the given
// version; rows.Absent if there is no such row.
func Acquire(options Options, version int64, nonce string) rows.Transaction {
	lease := Lease{
		Owner: options.Node, Incarnation: options.Incarnation, Address: options.Address, Nonce: nonce,
		Weight: options.Weight, Format: options.RowFormat, ComparesPools: true,
	}
	return rows.Transaction{
		Conditions: []rows.Condition{{Key: LeaseKey(options.Pool), Version: version}},
		Puts:       []rows.Put{{Key: LeaseKey(options.Pool), Value: mustEncode(lease)}},
	}
}

// Start reads the pool's rows and begins to schedule.
func (p *Pool) Start() {
	p.record.Count("takeovers", "acquired")
	p.record.LogEvent("pool acquired", "pool", p.options.Pool, "token", p.token)
	p.loadWorkers()
	p.checkEvacuations()
	p.readRows()
	p.readKnowledge()
	p.tick()
}

// features returns the optional policies that are in use under the current configuration.
func (p *Pool) features() features.Set {
	return features.Resolve(p.options.Features, p.options.Catalog())
}

// Token returns the owner's fencing token.
func (p *Pool) Token() int64 { return p.token }

// AcquiredAt returns when this owner acquired the pool.
func (p *Pool) AcquiredAt() time.Time { return p.acquiredAt }

// StoreAnswerAge returns the time since the store's last response to this owner.
func (p *Pool) StoreAnswerAge() time.Duration { return p.loop.Now().Sub(p.lastStoreAnswerAt) }

// recordStoreAnswer records a response of the store.
func (p *Pool) recordStoreAnswer() {
	now := p.loop.Now()
	if now.Sub(p.lastStoreAnswerAt) > storeOutageThreshold {
		p.storeRecoveredAt = now
	}
	p.lastStoreAnswerAt = now
}

// StoreRecovered retries pending store calls immediately. It is called when the store is available
// again.
func (p *Pool) StoreRecovered() {
	if !p.closed {
		p.storeRetries.RunPending()
	}
}

// storeOutageThreshold is the time without a response after which the store counts as having been
// unavailable. Open feeds get responses more often.
const storeOutageThreshold = 1500 * time.Millisecond

// Abandon stops the owner immediately. Runs continue on their workers.
func (p *Pool) Abandon(reason string) {
	if p.closed {
		return
	}
	p.closed = true
	p.endShareReports()
	p.record.Count("takeovers", "lost")
	p.record.LogEvent("pool ownership ended", "pool", p.options.Pool, "token", p.token, "reason", reason)
	p.options.OnOwnershipEnded(reason)
}

// tick runs the periodic checks.
func (p *Pool) tick() {
	if p.closed {
		return
	}
	p.checkOwnership()
	p.raiseRowFormatIfNeeded()
	p.checkEvacuations()
	p.expireLeases()
	p.logInvalidWorkerRows()
	p.pollOverdueStops()
	p.checkDrains()
	p.checkUnits()
	p.checkHealth()
	p.removeExpiredJobs()
	p.forgetRemovedWorkers()
	p.updateHeldPollDelay()
	p.refreshEstimates()
	p.updateTenants()
	p.kept.writeIfDue()
	p.keptDurations.writeIfDue()
	p.scheduleCycle()
	p.loop.After(tickInterval, p.tick)
}

// State returns the state of a job as persisted, but Running once one of its tasks was placed.
// The result is false if the job is unknown to this owner.
func (p *Pool) State(id string) (taskgraph.State, bool) {
	j := p.jobs[id]
	if j == nil || !p.loaded {
		return "", false
	}
	if !j.state.Final() && j.placed {
		return taskgraph.Running, true
	}
	return j.state, true
}

// BelongsElsewhere reports whether another pool has accepted a job that this pool does not have.
func (p *Pool) BelongsElsewhere(id string) bool {
	return p.jobs[id] == nil && len(p.otherPoolsJobs[id]) > 0
}

// WaitingJobs returns the number of jobs by queue of which no task was placed yet.
func (p *Pool) WaitingJobs() map[string]int {
	counts := map[string]int{}
	for _, j := range p.jobs {
		if !j.placed && !j.pendingState.Final() {
			counts[j.Queue.Name]++
		}
	}
	return counts
}

// Loaded reports whether the pool's rows are read.
func (p *Pool) Loaded() bool { return p.loaded }

// sortedWorkers returns the workers sorted by name. The returned slice is not modified when
// workers are added or removed.
func (p *Pool) sortedWorkers() []*worker {
	if p.workerOrder != nil {
		return p.workerOrder
	}
	sorted := make([]*worker, 0, len(p.workers))
	for _, w := range p.workers {
		sorted = append(sorted, w)
	}
	slices.SortFunc(sorted, func(a, b *worker) int { return strings.Compare(a.ID, b.ID) })
	p.workerOrder = sorted
	return sorted
}

// Release clears the owner in the lease row once all writes are done. Runs continue under the
// next owner.
func (p *Pool) Release() {
	if p.closed || p.releasing {
		return
	}
	p.releasing = true
	p.kept.writeIfDue()
	p.keptDurations.writeIfDue()
	p.releaseWhenIdle()
}

func (p *Pool) releaseWhenIdle() {
	if p.closed {
		return
	}
	if p.writer.busy() {
		p.writer.flushWithin(0)
		p.loop.After(releaseRetryInterval, p.releaseWhenIdle)
		return
	}
	p.ports.Commit(rows.Transaction{
		Conditions: []rows.Condition{{Key: LeaseKey(p.options.Pool), Version: p.token}},
		Puts:       []rows.Put{{Key: LeaseKey(p.options.Pool), Value: mustEncode(Lease{Format: p.releasedFormat()})}},
	}, func(_ rows.Result, err error) {
		if p.closed {
			return
		}
		if err != nil {
			p.loop.After(retryDelay, p.releaseWhenIdle)
			return
		}
		p.Abandon("pool released")
	})
}

// releaseRetryInterval is the interval at which a release checks for pending writes.
const releaseRetryInterval = 20 * time.Millisecond
