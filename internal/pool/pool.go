package pool

import (
	"slices"
	"strings"
	"time"

	"github.com/wheatroad/wheatroad/internal/evacuation"
	"github.com/wheatroad/wheatroad/internal/fleet"
	"github.com/wheatroad/wheatroad/internal/loop"
	"github.com/wheatroad/wheatroad/internal/poison"
	"github.com/wheatroad/wheatroad/internal/rows"
	"github.com/wheatroad/wheatroad/internal/speeds"
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
	token int64
	// acquiredAt is when this owner went to work.
	acquiredAt time.Time
	jobs       map[string]*job
	workers    map[string]*worker
	// workerOrder has the workers in the order of their names; nil once they change.
	workerOrder []*worker
	memory      snapshotMemory
	greetings   greetings
	writer      writer
	// storeRetries are calls to the store that wait to be made again.
	storeRetries *loop.Retries
	// loaded is true once rows are read; orders go out only then.
	loaded    bool
	gone      bool
	releasing bool
	waking    bool
	// lastCycle is when the last scheduling cycle ended, and crowded is true if it
	// left units waiting.
	lastCycle time.Time
	crowded   bool
	// cycleTook is how long that cycle took.
	cycleTook time.Duration
	// orderLatency is how long starts have lately taken to be answered.
	orderLatency time.Duration
	// storeAnsweredAt is when the store last answered.
	storeAnsweredAt time.Time
	// storeBackAt is when the store last answered after a silence of storeGap.
	storeBackAt time.Time
	// pressureUntil is how long patient units below pressurePriority wait.
	pressureUntil    time.Time
	pressurePriority int
	// medianLogTime is the median of the workers' times per work, as it was at medianAt.
	medianLogTime float64
	medianAt      time.Time
	// tooSlowShare is the share of the known workers that are too slow for urgent units.
	tooSlowShare float64
	// silences tells when many workers fall silent at once.
	silences silences
	// taskSpread is how much the tasks of a step differ.
	taskSpread speeds.Spread
	// dropping is true while the rows of an old job are removed.
	dropping bool
	// durations is what was learned of each queue's durations; estimatedAt is when it was
	// last applied to open jobs.
	durations   map[string]*durationModel
	estimatedAt time.Time
	// jobsVersion is the version of the store up to which the feed of jobs was read.
	jobsVersion int64
	// lossLedger weighs lost workers against each other, to tell tasks that crash workers.
	lossLedger *poison.Ledger
	// claimedAt is when this owner alone could write the progress.
	claimedAt time.Time
	// confirmedAt is when this owner was last known not to be replaced; confirming is true
	// while the store is asked.
	confirmedAt time.Time
	confirming  bool
	// workersAsOf is the time of which the workers' rows are known.
	workersAsOf time.Time
	// evacuatedRead is what this owner itself read of evacuated zones, evacuatedNoted what it
	// last told of them, and evacuationsWereKnown whether that was new enough for starts.
	evacuatedRead, evacuatedNoted            evacuation.Set
	evacuationsWereKnown, readingEvacuations bool
	foreign                                  foreignRows
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
		durations: map[string]*durationModel{}, storeRetries: loop.NewRetries(l), lossLedger: poison.NewLedger(),
		foreign: foreignRows{faults: map[string]fleet.RowFault{}},
	}
	p.writer = writer{pool: p}
	return p
}

// Acquire returns the transaction that takes a pool whose lease row stands at
// version, which is rows.Absent if there is none.
func Acquire(options Options, version int64, nonce string) rows.Transaction {
	lease := Lease{Owner: options.Node, Incarnation: options.Incarnation, Address: options.Address, Nonce: nonce, Weight: options.Weight}
	return rows.Transaction{
		Conditions: []rows.Condition{{Key: LeaseKey(options.Pool), Version: version}},
		Puts:       []rows.Put{{Key: LeaseKey(options.Pool), Value: mustEncode(lease)}},
	}
}

// Start reads the pool's rows and goes to work.
func (p *Pool) Start() {
	p.acquiredAt = p.loop.Now()
	p.record.Count("takeovers", "acquired")
	p.record.Decided("pool acquired", "pool", p.options.Pool, "token", p.token)
	p.readWorkers()
	p.checkEvacuations()
	p.readRows()
	p.tick()
}

// Token returns the owner's fencing token.
func (p *Pool) Token() int64 { return p.token }

// StoreAge returns how long ago the store last answered this owner.
func (p *Pool) StoreAge() time.Duration { return p.loop.Now().Sub(p.storeAnsweredAt) }

// noteStore notes an answer of the store.
func (p *Pool) noteStore() {
	now := p.loop.Now()
	if now.Sub(p.storeAnsweredAt) > storeGap {
		p.storeBackAt = now
	}
	p.storeAnsweredAt = now
}

// StoreBack makes the calls again that wait for the store.
func (p *Pool) StoreBack() {
	if !p.gone {
		p.storeRetries.Now()
	}
}

// storeGap is longer than the store is ever silent while a feed is open.
const storeGap = 1500 * time.Millisecond

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

// tick does what has no event of its own.
func (p *Pool) tick() {
	if p.gone {
		return
	}
	p.checkConfirmation()
	p.checkEvacuations()
	p.checkWorkers()
	p.tellForeignRows()
	p.checkStops()
	p.checkLeaving()
	p.checkUnits()
	p.dropOldJobs()
	p.refreshEstimates()
	p.wake()
	p.loop.After(tickPeriod, p.tick)
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

// sortedWorkers returns the workers in the order of their names. The list stays as it
// is when workers come and go.
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
		p.writer.flushWithin(0)
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
