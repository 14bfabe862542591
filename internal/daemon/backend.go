package daemon

import (
	"context"
	"encoding/json"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wheatroad/wheatroad/internal/blackboard"
	"github.com/wheatroad/wheatroad/internal/control"
	"github.com/wheatroad/wheatroad/internal/declaration"
	"github.com/wheatroad/wheatroad/internal/fault"
	"github.com/wheatroad/wheatroad/internal/job"
	"github.com/wheatroad/wheatroad/internal/peer"
	"github.com/wheatroad/wheatroad/internal/peer/peerpb"
	"github.com/wheatroad/wheatroad/internal/planning"
	"github.com/wheatroad/wheatroad/internal/schedule"
	"github.com/wheatroad/wheatroad/internal/store"
	"github.com/wheatroad/wheatroad/internal/telemetry"
	"github.com/wheatroad/wheatroad/internal/worker"
)

// backend implements api.Backend. It serves a request on this node if the node owns the
// request's domain and forwards it to the owner otherwise.
type backend struct {
	node         *control.Node
	table        store.Table
	objects      store.Objects
	peers        *peer.Client
	telemetry    *telemetry.Telemetry
	requestCount atomic.Int64
}

// View returns the node's current view of the cluster.
func (b *backend) View() *blackboard.View { return b.node.View() }

// result is the result of a call on the loop.
type result[T any] struct {
	value T
	err   error
}

// callOnLoop runs a call of the node on its loop and waits for the result or the
// caller's deadline.
func callOnLoop[T any](ctx context.Context, n *control.Node, start func(done func(T, error))) (T, error) {
	results := make(chan result[T], 1)
	n.Loop().Post(func() {
		start(func(value T, err error) { results <- result[T]{value, err} })
	})
	select {
	case received := <-results:
		return received.value, received.err
	case <-ctx.Done():
		var none T
		return none, fault.New(fault.DeadlineExceeded, "the deadline passed while waiting for the control loop")
	}
}

// ownerAddress returns the peer address of a domain's owner, or an empty string if this node
// owns it.
func (b *backend) ownerAddress(domain string) (string, error) {
	view := b.node.View()
	if view.Owned[domain] {
		return "", nil
	}
	lease, ok := view.Leases[domain]
	switch {
	case !ok, lease.Owner == "":
		return "", fault.New(fault.NoOwner, "domain %s has no owner; retry", domain)
	case lease.Owner == view.Node:
		return "", fault.New(fault.NoOwner, "domain %s is being recovered by its new owner; retry", domain)
	}
	return lease.PeerAddress, nil
}

// forward sends a request to another node and decodes the response.
func forward[T any](ctx context.Context, b *backend, address string, request *peerpb.Request) (T, error) {
	var value T
	request.Id = b.node.View().Node + "." + strconv.FormatInt(b.requestCount.Add(1), 10)
	document, err := b.peers.Call(ctx, address, request)
	if err != nil {
		b.telemetry.Count("forwards", string(fault.From(err).Kind))
		return value, err
	}
	b.telemetry.Count("forwards", "ok")
	if err := json.Unmarshal(document, &value); err != nil {
		return value, fault.New(fault.Internal, "decoding the owner's response failed")
	}
	return value, nil
}

// route serves a request on this node or forwards it to the domain's owner.
func route[T any](ctx context.Context, b *backend, domain string, request *peerpb.Request, start func(done func(T, error))) (T, error) {
	address, err := b.ownerAddress(domain)
	if err != nil {
		var none T
		return none, err
	}
	if address == "" {
		return callOnLoop(ctx, b.node, start)
	}
	request.Domain = domain
	return forward[T](ctx, b, address, request)
}

// Submit submits a job to a domain.
func (b *backend) Submit(ctx context.Context, domain string, spec job.Spec) (*job.Record, error) {
	document, err := json.Marshal(spec)
	if err != nil {
		return nil, fault.New(fault.Internal, "the job cannot be encoded")
	}
	request := &peerpb.Request{Body: &peerpb.Request_Submit{Submit: &peerpb.Submit{Spec: document}}}
	return route(ctx, b, domain, request, func(done func(*job.Record, error)) { b.node.Submit(domain, spec, done) })
}

func peerKey(key job.Key) *peerpb.JobKey { return &peerpb.JobKey{Tenant: key.Tenant, Id: key.ID} }

// Lookup returns a job's record.
func (b *backend) Lookup(ctx context.Context, domain string, key job.Key, wait time.Duration) (*job.Record, error) {
	request := &peerpb.Request{Body: &peerpb.Request_Lookup{Lookup: &peerpb.Lookup{Key: peerKey(key), WaitMillis: wait.Milliseconds()}}}
	return route(ctx, b, domain, request, func(done func(*job.Record, error)) { b.node.Lookup(domain, key, wait, done) })
}

// Cancel cancels a job.
func (b *backend) Cancel(ctx context.Context, domain string, key job.Key) (*job.Record, error) {
	request := &peerpb.Request{Body: &peerpb.Request_Cancel{Cancel: &peerpb.Cancel{Key: peerKey(key)}}}
	return route(ctx, b, domain, request, func(done func(*job.Record, error)) { b.node.Cancel(domain, key, done) })
}

// List returns the jobs of a domain.
func (b *backend) List(ctx context.Context, domain, tenant string) ([]*job.Record, error) {
	request := &peerpb.Request{Body: &peerpb.Request_List{List: &peerpb.List{Tenant: tenant}}}
	return route(ctx, b, domain, request, func(done func([]*job.Record, error)) { b.node.List(domain, tenant, done) })
}

// Explain returns why a job is queued.
func (b *backend) Explain(ctx context.Context, domain string, key job.Key) (schedule.Explanation, error) {
	request := &peerpb.Request{Body: &peerpb.Request_Explain{Explain: &peerpb.Explain{Key: peerKey(key)}}}
	return route(ctx, b, domain, request, func(done func(schedule.Explanation, error)) { b.node.Explain(domain, key, done) })
}

// FindDomain reads from the store which domain accepted a job.
func (b *backend) FindDomain(ctx context.Context, key job.Key) (string, error) {
	row, err := b.table.Get(ctx, control.NameKey(key))
	if err != nil {
		return "", fault.New(fault.StoreUnavailable, "reading the job's domain from the store failed")
	}
	var name control.Name
	if row.Revision == store.Absent || json.Unmarshal(row.Value, &name) != nil || name.Tombstone {
		return "", fault.New(fault.NotFound, "no such job")
	}
	return name.Domain, nil
}

// Output reads one member's output from the object store.
func (b *backend) Output(ctx context.Context, record *job.Record, member int) ([]byte, error) {
	name := worker.ResultName(record.Spec.Tenant, record.Spec.ID, record.Attempt, member)
	content, err := b.objects.Get(ctx, name)
	if err != nil {
		return nil, fault.New(fault.ResultUnavailable, "reading the output of member %d from the object store failed", member)
	}
	return content, nil
}

func planObjectName(digest string) string { return "plans/" + digest }

// SavePlan stores a plan until it is confirmed.
func (b *backend) SavePlan(ctx context.Context, plan *planning.Plan) error {
	document, err := json.Marshal(plan)
	if err != nil {
		return fault.New(fault.Internal, "the plan cannot be encoded")
	}
	if err := b.objects.Put(ctx, planObjectName(plan.Digest), document); err != nil {
		return fault.New(fault.StoreUnavailable, "writing the plan to the object store failed")
	}
	return nil
}

// LoadPlan reads a stored plan and verifies its digest.
func (b *backend) LoadPlan(ctx context.Context, digest string) (*planning.Plan, error) {
	document, err := b.objects.Get(ctx, planObjectName(digest))
	if errors.Is(err, store.ErrNotFound) {
		return nil, fault.New(fault.NotFound, "no plan with this digest")
	}
	if err != nil {
		return nil, fault.New(fault.StoreUnavailable, "reading the plan from the object store failed")
	}
	plan := &planning.Plan{}
	if json.Unmarshal(document, plan) != nil || plan.Digest != digest || !plan.DigestMatches() {
		return nil, fault.New(fault.Internal, "the stored plan does not match its digest")
	}
	return plan, nil
}

// Impact returns the effects of a plan on a domain's jobs.
func (b *backend) Impact(ctx context.Context, domain string, plan *planning.Plan) ([]planning.Effect, error) {
	document, err := json.Marshal(plan.Declaration)
	if err != nil {
		return nil, fault.New(fault.Internal, "the declaration cannot be encoded")
	}
	request := &peerpb.Request{Body: &peerpb.Request_Impact{Impact: &peerpb.Impact{Declaration: document}}}
	return route(ctx, b, domain, request, func(done func([]planning.Effect, error)) { b.node.Impact(domain, plan.Declaration, done) })
}

// Confirm applies a plan.
func (b *backend) Confirm(ctx context.Context, plan *planning.Plan) (int64, error) {
	return callOnLoop(ctx, b.node, func(done func(int64, error)) { b.node.Confirm(plan, done) })
}

// servePeer handles requests forwarded by other nodes.
func (b *backend) servePeer(ctx context.Context, request *peerpb.Request) ([]byte, error) {
	switch body := request.Body.(type) {
	case *peerpb.Request_Submit:
		var spec job.Spec
		if err := json.Unmarshal(body.Submit.Spec, &spec); err != nil {
			return nil, fault.New(fault.InvalidRequest, "the forwarded job is malformed")
		}
		return encodeResult(callOnLoop(ctx, b.node, func(done func(*job.Record, error)) { b.node.Submit(request.Domain, spec, done) }))
	case *peerpb.Request_Lookup:
		wait := time.Duration(body.Lookup.WaitMillis) * time.Millisecond
		key := jobKey(body.Lookup.Key)
		return encodeResult(callOnLoop(ctx, b.node, func(done func(*job.Record, error)) { b.node.Lookup(request.Domain, key, wait, done) }))
	case *peerpb.Request_Cancel:
		key := jobKey(body.Cancel.Key)
		return encodeResult(callOnLoop(ctx, b.node, func(done func(*job.Record, error)) { b.node.Cancel(request.Domain, key, done) }))
	case *peerpb.Request_List:
		return encodeResult(callOnLoop(ctx, b.node, func(done func([]*job.Record, error)) { b.node.List(request.Domain, body.List.Tenant, done) }))
	case *peerpb.Request_Explain:
		key := jobKey(body.Explain.Key)
		return encodeResult(callOnLoop(ctx, b.node, func(done func(schedule.Explanation, error)) { b.node.Explain(request.Domain, key, done) }))
	case *peerpb.Request_Impact:
		var declared declaration.Declaration
		if err := json.Unmarshal(body.Impact.Declaration, &declared); err != nil {
			return nil, fault.New(fault.InvalidRequest, "the forwarded declaration is malformed")
		}
		return encodeResult(callOnLoop(ctx, b.node, func(done func([]planning.Effect, error)) { b.node.Impact(request.Domain, declared, done) }))
	case *peerpb.Request_Refresh:
		b.node.Loop().Post(b.node.Refresh)
		return nil, nil
	}
	return nil, fault.New(fault.InvalidRequest, "the forwarded request has an unknown type")
}

func jobKey(key *peerpb.JobKey) job.Key { return job.Key{Tenant: key.GetTenant(), ID: key.GetId()} }

func encodeResult[T any](value T, err error) ([]byte, error) {
	if err != nil {
		return nil, err
	}
	return json.Marshal(value)
}
