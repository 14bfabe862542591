package emulator

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"github.com/wheatroad/wheatroad/internal/checker"
	"github.com/wheatroad/wheatroad/internal/control"
	"github.com/wheatroad/wheatroad/internal/declaration"
	"github.com/wheatroad/wheatroad/internal/fault"
	"github.com/wheatroad/wheatroad/internal/job"
	"github.com/wheatroad/wheatroad/internal/planning"
	"github.com/wheatroad/wheatroad/internal/routing"
	"github.com/wheatroad/wheatroad/internal/standin"
	"github.com/wheatroad/wheatroad/internal/store"
)

// call is one submission on its way through an entry node to a domain's owner.
type call struct {
	world    *World
	entry    *node
	request  *checker.Request
	deadline time.Time
	done     func(*job.Record)
	finished bool
	// refused counts the domains that the job never fits in, of so many candidates.
	refused    int
	candidates int
	// unowned says that one of them had no owner.
	unowned bool
}

const (
	callDeadline = 20 * time.Second
	retryPause   = 250 * time.Millisecond
)

// entryNode picks a node as the balancer does: any that is up and not stopping.
func (w *World) entryNode() *node {
	var up []*node
	for _, n := range w.nodes {
		if !n.down && !n.stopping {
			up = append(up, n)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[w.random.IntN(len(up))]
}

// Submit sends a job through some entry node. Done runs when the caller knows all
// that it will ever know of the submission.
func (w *World) Submit(spec job.Spec, done func(*checker.Request, *job.Record)) {
	request := &checker.Request{Spec: spec, SentAt: w.clock.now}
	w.History.Requests = append(w.History.Requests, request)
	entry := w.entryNode()
	if entry == nil {
		w.clock.After(nodeLatency, func() { done(request, nil) })
		return
	}
	request.Entry = entry.name
	c := &call{world: w, entry: entry, request: request, deadline: w.clock.now.Add(callDeadline), done: func(record *job.Record) { done(request, record) }}
	entry.open[c] = true
	entry.process.Post(c.try)
	w.clock.At(c.deadline, func() { c.answer(nil, fault.New(fault.DeadlineExceeded, "the deadline passed")) })
}

// abandon ends a call whose entry node died.
func (c *call) abandon() {
	if !c.finished {
		c.finished = true
		c.request.EntryStopped = c.entry.stopping
		c.world.clock.After(nodeLatency, func() { c.done(nil) })
	}
}

// answer gives the caller its answer, once.
func (c *call) answer(record *job.Record, err error) {
	if c.finished || c.entry.down {
		return
	}
	c.finished = true
	delete(c.entry.open, c)
	c.request.Answered = true
	c.request.AnsweredAt = c.world.clock.now
	c.request.EntryStopped = c.entry.stopping
	if err != nil {
		listed := fault.From(err)
		c.request.Kind = listed.Kind
		c.request.Outcome = listed.EffectiveOutcome()
	} else {
		c.request.Accepted = true
		c.request.Outcome = record.Outcome
		c.world.History.Answers = append(c.world.History.Answers, checker.Answer{
			At: c.world.clock.now, Asked: job.Key{Tenant: c.request.Spec.Tenant, ID: c.request.Spec.ID}, Record: record,
		})
	}
	c.done(record)
}

// try routes the job from the entry node's view, as the API does.
func (c *call) try() {
	if c.finished {
		return
	}
	view := c.entry.control.View()
	if !view.Synced || c.world.clock.now.Sub(view.UpdatedAt) > c.entry.control.Timing().ConfigurationAge {
		c.answer(nil, fault.New(fault.ConfigurationStale, "this node does not know the newest configuration now"))
		return
	}
	if view.Configuration.Declaration.FindTenant(c.request.Spec.Tenant) == nil {
		c.answer(nil, fault.New(fault.Unauthenticated, "the request carries no valid key"))
		return
	}
	domains, err := routing.Rank(view, &c.request.Spec)
	if err != nil {
		c.settle(nil, err)
		return
	}
	c.candidates = len(domains)
	domain := domains[min(c.refused, len(domains)-1)]
	lease := view.Leases[domain]
	if view.Owned[domain] {
		c.entry.control.Submit(domain, c.request.Spec, c.settle)
		return
	}
	owner := c.world.byAddress(lease.PeerAddress)
	if owner == nil || owner == c.entry {
		c.settle(nil, fault.New(fault.NoOwner, "domain %s has no owner now", domain))
		return
	}
	c.forward(owner, domain)
}

// forward carries the job to the owner and its answer back.
func (c *call) forward(owner *node, domain string) {
	w := c.world
	there := w.network.of(c.entry.name, nodeTarget(owner.name))
	if there == cutBoth {
		w.clock.After(time.Second, func() {
			c.entry.process.run(func() { c.settle(nil, fault.New(fault.NoOwner, "the owner cannot be reached")) })
		})
		return
	}
	w.clock.After(nodeLatency, func() {
		owner.process.run(func() {
			owner.control.Submit(domain, c.request.Spec, func(record *job.Record, err error) {
				if there == cutAnswers || w.network.of(owner.name, nodeTarget(c.entry.name)) == cutBoth {
					return
				}
				w.clock.After(nodeLatency, func() { c.entry.process.run(func() { c.settle(record, err) }) })
			})
		})
	})
}

// settle answers the caller, or tries again: elsewhere when the job never fits in a
// domain or that has no owner, and later when none has.
func (c *call) settle(record *job.Record, err error) {
	unowned := err != nil && fault.IsKind(err, fault.NoOwner)
	c.unowned = c.unowned || unowned
	if (unowned || err != nil && fault.IsKind(err, fault.Unsatisfiable)) && c.refused+1 < c.candidates {
		c.refused++
		c.entry.process.Post(c.try)
		return
	}
	if c.unowned && err != nil && c.world.clock.now.Add(2*retryPause).Before(c.deadline) {
		c.refused, c.unowned = 0, false
		c.entry.process.After(retryPause, c.try)
		return
	}
	c.answer(record, err)
}

// Follow asks for a job's record until it has ended.
func (w *World) Follow(key job.Key, domain string, done func(*job.Record)) {
	w.clock.After(followPause, func() {
		record := w.readRecord(domain, key)
		if record != nil && record.State.Terminal() {
			w.History.Answers = append(w.History.Answers, checker.Answer{At: w.clock.now, Asked: key, Record: record})
			done(record)
			return
		}
		if record != nil {
			w.Follow(key, domain, done)
		}
	})
}

const followPause = 10 * time.Second

// readRecord reads a job's row as any node could.
func (w *World) readRecord(domain string, key job.Key) *job.Record {
	for _, rowKey := range []string{"job/" + domain + "/" + key.String(), control.DoneKey(domain, key)} {
		row := w.site.Table.Get(rowKey)
		record := &job.Record{}
		if row.Revision != store.Absent && json.Unmarshal(row.Value, record) == nil {
			return record
		}
	}
	return nil
}

// Confirm plans a declaration from some node's view and confirms the plan there.
func (w *World) Confirm(declared declaration.Declaration, done func(version int64, err error)) {
	entry := w.entryNode()
	if entry == nil {
		return
	}
	entry.process.Post(func() {
		view := entry.control.View()
		plan, err := planning.New(view.Configuration, declared, view.Domains, w.clock.now)
		if err != nil {
			done(0, err)
			return
		}
		entry.control.Confirm(plan, done)
	})
}

// nothingToDo is for submissions whose answer does not matter.
func nothingToDo(*checker.Request, *job.Record) {}

// Load describes the callers of a run.
type Load struct {
	// JobsPerHour arrive at random times.
	JobsPerHour float64
	// MeanSeconds is the mean run time.
	MeanSeconds float64
	Tenants     []string
}

// Start lets callers submit until the given time.
func (w *World) Start(load Load, until time.Time) {
	gap := time.Duration(w.random.ExpFloat64() / load.JobsPerHour * float64(time.Hour))
	next := w.clock.now.Add(gap)
	if next.After(until) {
		return
	}
	w.clock.At(next, func() {
		w.submitOne(load)
		w.Start(load, until)
	})
}

func (w *World) submitOne(load Load) {
	w.serial++
	spec := w.drawSpec(load)
	w.Submit(spec, func(_ *checker.Request, record *job.Record) {
		if record != nil {
			w.Follow(record.Key(), record.Domain, func(*job.Record) {})
		}
	})
}

// Shares of the kinds of jobs.
const (
	onceShare       = 0.3
	guaranteedShare = 0.2
	checkpointShare = 0.6
	urgentShare     = 0.1
	gangShare       = 0.4
)

func (w *World) drawSpec(load Load) job.Spec {
	seconds := math.Max(2, w.random.ExpFloat64()*load.MeanSeconds)
	payload, _ := json.Marshal(standin.Payload{RunSeconds: seconds, OutputBytes: 64, Fail: w.random.Float64() < 0.02})
	spec := job.Spec{
		ID: fmt.Sprintf("job%d", w.serial), Tenant: load.Tenants[w.random.IntN(len(load.Tenants))],
		Priority: job.Normal, Duration: seconds, Payload: string(payload), Repeatable: true,
		Shape: job.Shape{Members: 1, Accelerators: 1 + w.random.IntN(4), CPUs: 2, MemoryGB: 4, Spread: job.SpreadZone},
	}
	if w.random.Float64() < gangShare {
		spec.Members = 2 + w.random.IntN(3)
		spec.Accelerators = 4 + 4*w.random.IntN(2)
		spec.Spread = job.SpreadRack
	}
	if w.random.Float64() < checkpointShare {
		spec.Checkpoint = true
		spec.CheckpointSeconds = 1 + 10*w.random.Float64()
	}
	switch draw := w.random.Float64(); {
	case draw < onceShare:
		spec.Repeatable = false
	case draw < onceShare+guaranteedShare:
		spec.Guaranteed = true
	case draw < onceShare+guaranteedShare+urgentShare:
		spec.Priority = job.Urgent
	}
	return spec
}
