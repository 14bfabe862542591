package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wheatroad/wheatroad/internal/catalog"
	"github.com/wheatroad/wheatroad/internal/fault"
	"github.com/wheatroad/wheatroad/internal/loop"
	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/rows"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// Gateway serves callers. Its methods may be called anywhere; errors are faults of
// a listed kind.
type Gateway struct{ node *Node }

// NewGateway returns a gateway over a node.
func NewGateway(n *Node) *Gateway { return &Gateway{node: n} }

// Access is what a caller may use: a queue, as a tenant.
type Access struct {
	Queue  catalog.Queue
	Tenant string
}

// Ready reports whether the node should get new connections.
func (g *Gateway) Ready() bool {
	n := g.node
	return !n.stopping.Load() && n.catalog.Load() != nil && age(n.confirmed.Load()) < n.options.ConfigurationAge
}

// Stopping reports whether the node is about to end.
func (g *Gateway) Stopping() bool { return g.node.stopping.Load() }

// Resolve finds the queue for a path and checks the caller's key. It returns the
// rest of the path.
func (g *Gateway) Resolve(host, path, key string) (Access, string, error) {
	n := g.node
	current := n.catalog.Load()
	if current == nil || age(n.confirmed.Load()) > n.options.ConfigurationAge {
		return Access{}, "", g.refused(fault.New(fault.ConfigurationOld, "the configuration in force is not known"))
	}
	queue := current.Match(host, path)
	if queue == nil {
		return Access{}, "", g.refused(fault.New(fault.NotFound, "no such queue"))
	}
	access := Access{Queue: *queue}
	tenant, known := current.TenantOf(key)
	if !known && !queue.Public {
		return Access{}, "", g.refused(fault.New(fault.Unauthenticated, "the key is not known"))
	}
	access.Tenant = tenant
	return access, path[len(queue.PathPrefix):], nil
}

// refused counts a refusal and returns it.
func (g *Gateway) refused(err error) error {
	g.node.edges.Record.Count("refusals", string(fault.From(err).Kind))
	return err
}

// Submit accepts a job. On success it is in the store.
func (g *Gateway) Submit(ctx context.Context, access Access, spec *taskgraph.Spec) error {
	if err := spec.Validate(); err != nil {
		return g.refused(err)
	}
	job := &pool.Accepted{Spec: *spec, Tenant: access.Tenant, Queue: access.Queue, AcceptedMillis: time.Now().UnixMilli()}
	err := g.anywhere(ctx, methodSubmit, jobRequest{Pool: access.Queue.Pool, Job: job}, func(ctx context.Context) error {
		return g.commitJob(ctx, access.Queue.Pool, job)
	})
	if err != nil {
		g.node.edges.Record.Decided("job not accepted", "job", spec.ID, "queue", access.Queue.Name, "reason", string(fault.From(err).Kind),
			"detail", fault.From(err).Detail, "store_answered_ms_ago", g.node.storeAge().Milliseconds())
		return g.refused(err)
	}
	g.node.edges.Record.Count("job_transitions", "accepted")
	g.node.edges.Record.Decided("job accepted", "job", spec.ID, "queue", access.Queue.Name, "tenant", access.Tenant)
	return nil
}

// anywhere runs a write here, or on another node if this one lost the store.
func (g *Gateway) anywhere(ctx context.Context, method string, request jobRequest, here func(context.Context) error) error {
	n := g.node
	var failure error
	if !n.storeLost() {
		failure = limited(ctx, submitTimeout, here)
		if failure == nil || !storeFault(failure) {
			return failure
		}
	}
	for _, other := range g.helpers() {
		err := limited(ctx, submitTimeout, func(ctx context.Context) error {
			_, err := n.call(ctx, other.Address, method, request)
			return err
		})
		if err == nil || !storeFault(err) {
			return err
		}
		failure = worse(failure, err)
	}
	if failure == nil {
		failure = fault.New(fault.StoreUnavailable, "no node has the store")
	}
	return failure
}

// worse returns the error after which less is known.
func worse(a, b error) error {
	if a != nil && fault.IsKind(a, fault.OutcomeUnknown) {
		return a
	}
	if fault.IsKind(b, fault.NoOwner) {
		return fault.New(fault.StoreUnavailable, "no node with the store answers")
	}
	return b
}

// storeFault reports whether another node may fare better.
func storeFault(err error) bool {
	return fault.IsKind(err, fault.StoreUnavailable) || fault.IsKind(err, fault.OutcomeUnknown) || fault.IsKind(err, fault.NoOwner)
}

func limited(ctx context.Context, limit time.Duration, work func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return work(ctx)
}

// helperCount is how many other nodes are tried for a write.
const helperCount = 2

// helpers lists nodes that may have the store: owners first.
func (g *Gateway) helpers() []member {
	v := g.node.view.Load()
	owners := map[string]bool{}
	for _, lease := range v.leases {
		owners[lease.Owner] = true
	}
	var first, second []member
	for _, other := range v.members {
		if owners[other.Name] {
			first = append(first, other)
		} else {
			second = append(second, other)
		}
	}
	helpers := append(first, second...)
	return helpers[:min(helperCount, len(helpers))]
}

// storeFailure turns a failure of the store into a fault.
func storeFailure(err error) error {
	if errors.Is(err, rows.ErrRefused) {
		return fault.New(fault.StoreUnavailable, "the store did nothing")
	}
	return fault.New(fault.OutcomeUnknown, "the store gave no answer")
}

// commitJob writes an accepted job into the first of its parts that takes it.
// Repeating it is harmless.
func (g *Gateway) commitJob(ctx context.Context, poolName string, job *pool.Accepted) error {
	value := pool.Encode(job)
	var failure error
	for _, part := range pool.JobParts(poolName, job.Spec.ID) {
		key := pool.AcceptedKey(part, job.Spec.ID)
		result, err := g.node.ports.commit(ctx, rows.Transaction{
			Conditions: []rows.Condition{{Key: key, Version: rows.Absent}},
			Puts:       []rows.Put{{Key: key, Value: value}},
		})
		switch {
		case err == nil && result.Committed:
			return nil
		case err == nil:
			return sameJob(result, job)
		}
		failure = worse(failure, storeFailure(err))
		if ctx.Err() != nil {
			break
		}
	}
	return failure
}

// sameJob tells a repeated submission from another job under the same identifier.
func sameJob(result rows.Result, job *pool.Accepted) error {
	for i := range result.Current {
		var known pool.Accepted
		if err := json.Unmarshal(result.Current[i].Value, &known); err != nil {
			continue
		}
		if known.Tenant == job.Tenant && string(pool.Encode(known.Spec)) == string(pool.Encode(job.Spec)) {
			return nil
		}
	}
	return fault.NewField(fault.DuplicateID, "id", "another job has this identifier")
}

// Lookup returns a job's state.
func (g *Gateway) Lookup(ctx context.Context, access Access, id string) (taskgraph.State, error) {
	if !taskgraph.ValidID(id) {
		return "", g.refused(fault.New(fault.UnknownJob, "no such job"))
	}
	state, err := g.lookupAnywhere(ctx, access.Queue.Pool, id)
	if err != nil {
		g.node.edges.Record.Decided("lookup refused", "job", id, "queue", access.Queue.Name, "reason", string(fault.From(err).Kind), "detail", fault.From(err).Detail)
		return "", g.refused(err)
	}
	return state, nil
}

func (g *Gateway) lookupAnywhere(ctx context.Context, poolName, id string) (taskgraph.State, error) {
	n := g.node
	v := n.view.Load()
	lease := v.leases[poolName]
	if v.owned[poolName] == nil && lease.Address != "" && lease.Owner != n.options.Name {
		var reply lookupReply
		err := limited(ctx, pingTimeout, func(ctx context.Context) error {
			document, err := n.call(ctx, lease.Address, methodLookup, jobRequest{Pool: poolName, ID: id})
			if err != nil {
				return err
			}
			return json.Unmarshal(document, &reply)
		})
		if err == nil || fault.IsKind(err, fault.UnknownJob) {
			return reply.State, err
		}
	}
	return g.lookupHere(ctx, poolName, id)
}

// lookupHere answers from the pool, if this node owns it, or from the store.
func (g *Gateway) lookupHere(ctx context.Context, poolName, id string) (taskgraph.State, error) {
	n := g.node
	if p := n.view.Load().owned[poolName]; p != nil {
		var state taskgraph.State
		known := false
		err := limited(ctx, handOverLimit, func(ctx context.Context) error {
			return loop.Call(ctx, n.edges.Loop, func() { state, known = p.State(id) })
		})
		if err == nil && known {
			return state, nil
		}
	}
	return g.lookupStored(ctx, poolName, id)
}

// lookupStored reads a job's state from the store.
func (g *Gateway) lookupStored(ctx context.Context, poolName, id string) (taskgraph.State, error) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	accepted, cancelled, err := g.storedJob(ctx, poolName, id)
	if err != nil {
		return "", err
	}
	if accepted == "" {
		return "", fault.New(fault.UnknownJob, "no such job")
	}
	state, err := g.storedState(ctx, poolName, id)
	if err == nil && cancelled && !state.Final() {
		return taskgraph.Cancelled, nil
	}
	return state, err
}

// storedJob returns the part that holds a job, empty if there is none, and whether
// the job is cancelled. Absence takes an answer of every part.
func (g *Gateway) storedJob(ctx context.Context, poolName, id string) (accepted string, cancelled bool, err error) {
	for _, part := range pool.JobParts(poolName, id) {
		listing, failure := g.node.ports.scan(ctx, pool.JobTable, part, id)
		if failure != nil {
			err = storeUnread(failure)
			continue
		}
		if hasRow(listing, pool.AcceptedKey(part, id)) {
			accepted = part
		}
		cancelled = cancelled || hasRow(listing, pool.CancelledKey(part, id))
		if accepted != "" {
			return accepted, cancelled, nil
		}
	}
	return accepted, cancelled, err
}

// storedState returns the state in the newest of a job's rows of progress.
func (g *Gateway) storedState(ctx context.Context, poolName, id string) (taskgraph.State, error) {
	var newest pool.Progress
	for _, part := range pool.ProgressParts(poolName) {
		listing, err := g.node.ports.scan(ctx, pool.ProgressTable, part, id)
		if err != nil {
			return "", storeUnread(err)
		}
		for i := range listing.Rows {
			var record pool.Progress
			if err := json.Unmarshal(listing.Rows[i].Value, &record); err != nil {
				return "", fault.New(fault.Internal, "the job's progress cannot be read")
			}
			if newest.State == "" || record.NewerThan(&newest) {
				newest = record
			}
		}
	}
	if newest.State == "" {
		return taskgraph.Queued, nil
	}
	return newest.State, nil
}

func storeUnread(err error) error {
	return fault.New(fault.StoreUnavailable, "the store could not be read: %v", err)
}

func hasRow(listing rows.Listing, key rows.Key) bool {
	for i := range listing.Rows {
		if listing.Rows[i].Key == key {
			return true
		}
	}
	return false
}

// Cancel ends a job. On success the cancellation is in the store.
func (g *Gateway) Cancel(ctx context.Context, access Access, id string) error {
	if !taskgraph.ValidID(id) {
		return g.refused(fault.New(fault.UnknownJob, "no such job"))
	}
	err := g.anywhere(ctx, methodCancel, jobRequest{Pool: access.Queue.Pool, ID: id}, func(ctx context.Context) error {
		return g.commitCancel(ctx, access.Queue.Pool, id)
	})
	if err != nil {
		g.node.edges.Record.Decided("cancellation refused", "job", id, "reason", string(fault.From(err).Kind))
		return g.refused(err)
	}
	g.node.edges.Record.Decided("cancellation accepted", "job", id)
	return nil
}

// cancellation is the row of a cancelled job.
type cancellation struct {
	AtMillis int64 `json:"at_ms"`
}

// commitCancel writes a cancellation beside the job's accepted row, or into another
// of its parts if that one is away.
func (g *Gateway) commitCancel(ctx context.Context, poolName, id string) error {
	accepted, cancelled, err := g.storedJob(ctx, poolName, id)
	if err != nil {
		return err
	}
	if accepted == "" {
		return fault.New(fault.UnknownJob, "no such job")
	}
	if cancelled {
		return nil
	}
	value := pool.Encode(cancellation{AtMillis: time.Now().UnixMilli()})
	parts := append([]string{accepted}, pool.JobParts(poolName, id)...)
	var failure error
	for _, part := range parts {
		_, err := g.node.ports.commit(ctx, rows.Transaction{Puts: []rows.Put{{Key: pool.CancelledKey(part, id), Value: value}}})
		if err == nil {
			return nil
		}
		failure = worse(failure, storeFailure(err))
	}
	return failure
}

// waitingAge is how old a cached count of waiting jobs may be.
const waitingAge = 1500 * time.Millisecond

// Waiting returns how many jobs of a queue have no task begun.
func (g *Gateway) Waiting(ctx context.Context, access Access) (int, error) {
	n := g.node
	poolName, queue := access.Queue.Pool, access.Queue.Name
	v := n.view.Load()
	lease := v.leases[poolName]
	if v.owned[poolName] != nil || lease.Address == "" || lease.Owner == n.options.Name {
		count, err := g.waitingHere(ctx, poolName, queue)
		if err != nil {
			return 0, g.refused(err)
		}
		return count, nil
	}
	var reply waitingReply
	err := limited(ctx, pingTimeout, func(ctx context.Context) error {
		document, err := n.call(ctx, lease.Address, methodWaiting, jobRequest{Pool: poolName, Queue: queue})
		if err != nil {
			return err
		}
		return json.Unmarshal(document, &reply)
	})
	if err == nil {
		return reply.Waiting, nil
	}
	if cached := v.waiting[poolName]; cached.counts != nil && time.Since(cached.at) < waitingAge {
		return cached.counts[queue], nil
	}
	return 0, g.refused(fault.New(fault.NoOwner, "the pool's owner does not answer"))
}

func (g *Gateway) waitingHere(ctx context.Context, poolName, queue string) (int, error) {
	n := g.node
	p := n.view.Load().owned[poolName]
	if p == nil {
		return 0, fault.New(fault.NoOwner, "the pool has no owner here")
	}
	count, loaded := 0, false
	err := limited(ctx, handOverLimit, func(ctx context.Context) error {
		return loop.Call(ctx, n.edges.Loop, func() {
			loaded = p.Loaded()
			count = p.Waiting()[queue]
		})
	})
	if err != nil || !loaded {
		return 0, fault.New(fault.NoOwner, "the pool's owner is not ready")
	}
	return count, nil
}
