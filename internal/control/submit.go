package control

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/fault"
	"github.com/wheatroad/wheatroad/internal/job"
	"github.com/wheatroad/wheatroad/internal/schedule"
	"github.com/wheatroad/wheatroad/internal/store"
)

// JobDone receives a job's record, or why there is none.
type JobDone func(*job.Record, error)

// owned returns the named domain if this node owns and serves it.
func (n *Node) owned(name string) (*domain, error) {
	d, ok := n.domains[name]
	switch {
	case !ok, !d.active:
		return nil, n.refuse(fault.New(fault.NoOwner, "domain %s is not served here now", name))
	case d.leaving:
		return nil, n.refuse(fault.New(fault.NoOwner, "domain %s is moving to another node", name))
	}
	return d, nil
}

func (n *Node) refuse(err *fault.Error) error {
	n.record.Count(CounterRefusals, string(err.Kind))
	return err
}

// Submit accepts a job into a domain that this node owns. Done runs once the job
// is in the table, or once it is certain that it never will be. It must run on
// the loop.
func (n *Node) Submit(domainName string, spec job.Spec, done JobDone) {
	d, err := n.owned(domainName)
	if err != nil {
		done(nil, err)
		return
	}
	key := job.Key{Tenant: spec.Tenant, ID: spec.ID}
	if known, ok := d.jobs[key]; ok {
		d.answerDuplicate(known, spec, done)
		return
	}
	if err := d.admissible(&spec); err != nil {
		done(nil, err)
		return
	}
	d.accept(spec, store.Absent, done)
}

func (d *domain) answerDuplicate(known *ownedJob, spec job.Spec, done JobDone) {
	if known.record.Spec.Digest() != spec.Digest() {
		done(nil, d.node.refuse(fault.NewField(fault.DuplicateID, "id", "%q was submitted before with other content", spec.ID)))
		return
	}
	if known.phase == phaseAccepting {
		known.waiters = append(known.waiters, func(record *job.Record) {
			if known.phase == phaseAccepting || known.phase == phaseEnded && record.State == job.Queued {
				done(nil, d.node.refuse(fault.New(fault.StoreUnavailable, "the first submission was not accepted")))
				return
			}
			done(record, nil)
		})
		return
	}
	done(known.record.Clone(), nil)
}

// admissible checks a job against the configuration in force.
func (d *domain) admissible(spec *job.Spec) error {
	tenant := d.node.board.Configuration.Declaration.FindTenant(spec.Tenant)
	if tenant == nil {
		return d.node.refuse(fault.NewField(fault.InvalidRequest, "tenant", "%q is not declared", spec.Tenant))
	}
	quota := tenant.Quota
	if quota.Accelerators > 0 && spec.TotalAccelerators() > quota.Accelerators {
		return d.node.refuse(fault.NewField(fault.Unsatisfiable, "accelerators", "the job needs %d, the tenant's quota is %d", spec.TotalAccelerators(), quota.Accelerators))
	}
	if quota.QueuedJobs > 0 && d.queuedOf(spec.Tenant) >= quota.QueuedJobs {
		return d.node.refuse(fault.New(fault.TenantLimit, "the tenant has %d jobs queued", quota.QueuedJobs))
	}
	if !schedule.FitsIdle(d.scheduler.Cluster(), spec.Shape, "") {
		return d.node.refuse(fault.NewField(fault.Unsatisfiable, "members", "%d members of %d accelerators within one %s fit nowhere in %s", spec.Members, spec.Accelerators, spec.Spread, d.name))
	}
	if !spec.Repeatable && !d.scheduler.FitsFirm(spec.Shape) {
		return d.node.refuse(fault.NewField(fault.Unsatisfiable, "repeatable", "a job that may run only once is never pushed out, and %d members of %d accelerators within one %s do not fit beside the guarantees in %s", spec.Members, spec.Accelerators, spec.Spread, d.name))
	}
	return nil
}

func (d *domain) queuedOf(tenant string) int {
	count := 0
	for key, owned := range d.jobs {
		if key.Tenant == tenant && (owned.phase == phaseQueued || owned.phase == phaseAccepting) {
			count++
		}
	}
	return count
}

// accept writes a job's rows. The name row is put only if it is absent or a known
// tombstone, so that one identifier is accepted once, whatever was lost before.
func (d *domain) accept(spec job.Spec, nameRevision int64, done JobDone) {
	now := d.node.loop.Now()
	record := &job.Record{
		Spec: spec, Domain: d.name, State: job.Queued, Epoch: d.epoch,
		SubmittedAt: now.UTC().Truncate(time.Millisecond), Outcome: fault.NotRun,
	}
	owned := &ownedJob{domain: d, record: record, phase: phaseAccepting}
	d.jobs[record.Key()] = owned
	name := Name{Domain: d.name, Digest: spec.Digest(), Write: d.node.nextWrite()}
	d.writer.add(&change{
		conditions: []store.Condition{{Key: NameKey(record.Key()), Revision: nameRevision}},
		writes:     []store.Write{write(NameKey(record.Key()), name), write(jobKey(d.name, record.Key()), record)},
		check:      func() error { return d.admissibleAgain(&spec) },
		expendable: true,
		done:       func(result writeResult, revision int64) { d.accepted(owned, result, revision, done) },
	})
}

// admissibleAgain repeats the checks that a newer configuration can change.
func (d *domain) admissibleAgain(spec *job.Spec) error {
	if d.node.board.Configuration.Declaration.FindTenant(spec.Tenant) == nil {
		return fault.NewField(fault.InvalidRequest, "tenant", "%q is not declared", spec.Tenant)
	}
	return nil
}

func (d *domain) accepted(owned *ownedJob, result writeResult, revision int64, done JobDone) {
	if result == written {
		owned.revision = revision
		d.enqueue(owned)
		done(owned.record.Clone(), nil)
		owned.notify()
		return
	}
	delete(d.jobs, owned.key())
	owned.phase = phaseEnded
	owned.notify()
	switch result {
	case unavailable:
		done(nil, d.node.refuse(fault.New(fault.StoreUnavailable, "the table service takes no writes now")))
	case refused:
		done(nil, d.node.refuse(fault.NewField(fault.InvalidRequest, "tenant", "%q is not declared any more", owned.record.Spec.Tenant)))
	default:
		d.answerTaken(owned, done)
	}
}

// answerTaken answers a submission whose identifier is in the table already.
func (d *domain) answerTaken(owned *ownedJob, done JobDone) {
	key := owned.key()
	d.node.ports.Get(NameKey(key), func(row store.Row, err error) {
		if err != nil {
			done(nil, d.node.refuse(fault.New(fault.OutcomeUnknown, "the job's identifier is taken and its row could not be read")))
			return
		}
		name, ok := decode[Name](row.Value)
		switch {
		case !ok:
			done(nil, d.node.refuse(fault.New(fault.OutcomeUnknown, "the job's identifier changed while it was read")))
		case name.Tombstone && !d.gone && d.jobs[key] == nil:
			d.accept(owned.record.Spec, row.Revision, done)
		case name.Digest != owned.record.Spec.Digest():
			done(nil, d.node.refuse(fault.NewField(fault.DuplicateID, "id", "%q was submitted before with other content", key.ID)))
		default:
			d.node.readRecord(name.Domain, key, done)
		}
	})
}

// readRecord reads a job's record from the table, wherever its owner is.
func (n *Node) readRecord(domainName string, key job.Key, done JobDone) {
	n.ports.Get(jobKey(domainName, key), func(row store.Row, err error) {
		if err != nil {
			done(nil, n.refuse(fault.New(fault.OutcomeUnknown, "the job's record could not be read")))
			return
		}
		if record, ok := decode[job.Record](row.Value); ok {
			done(&record, nil)
			return
		}
		n.ports.Get(DoneKey(domainName, key), func(row store.Row, err error) {
			if err != nil {
				done(nil, n.refuse(fault.New(fault.OutcomeUnknown, "the job's record could not be read")))
				return
			}
			record, ok := decode[job.Record](row.Value)
			if !ok {
				done(nil, n.refuse(fault.New(fault.NotFound, "no job %q", key.ID)))
				return
			}
			done(&record, nil)
		})
	})
}

func (d *domain) enqueue(owned *ownedJob) {
	owned.phase = phaseQueued
	owned.retries = 0
	d.queuedAccelerators += int64(owned.record.Spec.TotalAccelerators())
	d.node.record.Count(CounterTransitions, string(job.Queued))
	d.scheduler.Submit(d.node.loop.Now(), owned.record.Spec, owned.record.SubmittedAt, owned.remaining())
	d.wake()
}

// findJob returns a job in memory. If there is none it returns nil and answers done
// itself, from the table when the domain is owned.
func (n *Node) findJob(domainName string, key job.Key, done JobDone) *ownedJob {
	d, err := n.owned(domainName)
	if err != nil {
		done(nil, err)
		return nil
	}
	owned, ok := d.jobs[key]
	if !ok {
		n.readRecord(domainName, key, done)
		return nil
	}
	return owned
}

// Lookup answers with a job's record. With wait it answers when the job has ended
// or the wait is over, whichever is first. It must run on the loop.
func (n *Node) Lookup(domainName string, key job.Key, wait time.Duration, done JobDone) {
	owned := n.findJob(domainName, key, done)
	if owned == nil {
		return
	}
	if wait <= 0 || owned.record.State.Terminal() {
		done(owned.record.Clone(), nil)
		return
	}
	answered := false
	answer := func(record *job.Record) {
		if !answered {
			answered = true
			done(record, nil)
		}
	}
	owned.waiters = append(owned.waiters, answer)
	n.loop.After(wait, func() { answer(owned.record.Clone()) })
}

// List answers with the records of a tenant's jobs in memory, or of all jobs for
// an empty tenant. It must run on the loop.
func (n *Node) List(domainName, tenant string, done func([]*job.Record, error)) {
	d, err := n.owned(domainName)
	if err != nil {
		done(nil, err)
		return
	}
	var records []*job.Record
	for _, key := range sortedJobs(d.jobs) {
		if tenant == "" || key.Tenant == tenant {
			records = append(records, d.jobs[key].record.Clone())
		}
	}
	done(records, nil)
}

// Explain answers why a job waits. It must run on the loop.
func (n *Node) Explain(domainName string, key job.Key, done func(schedule.Explanation, error)) {
	d, err := n.owned(domainName)
	if err != nil {
		done(schedule.Explanation{}, err)
		return
	}
	owned, ok := d.jobs[key]
	if !ok {
		done(schedule.Explanation{}, n.refuse(fault.New(fault.NotFound, "no job %q is queued or running", key.ID)))
		return
	}
	explanation := d.scheduler.Explain(n.loop.Now(), key)
	explanation.State = owned.record.State
	done(explanation, nil)
}
