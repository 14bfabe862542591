package node

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wheatroad/wheatroad/internal/catalog"
	"github.com/wheatroad/wheatroad/internal/fault"
	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/rows"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// Gateway serves callers. The methods may be called from any goroutine. Their errors are faults of
// a kind that package fault lists.
type Gateway struct{ node *Node }

// NewGateway returns a gateway to a node.
func NewGateway(n *Node) *Gateway { return &Gateway{node: n} }

// Access is a queue and the tenant on whose behalf a caller uses the queue.
type Access struct {
	Queue  catalog.Queue
	Tenant string
}

// Ready reports whether the node should receive new connections.
func (g *Gateway) Ready() bool {
	n := g.node
	return !n.stopping.Load() && n.catalog.Load() != nil && age(n.confirmedAt.Load()) < n.options.MaxConfigurationAge
}

// Stopping reports whether the node is shutting down.
func (g *Gateway) Stopping() bool { return g.node.stopping.Load() }

// Resolve finds the queue for a host and path and checks the caller's key. It also returns the path
// without the queue's prefix.
func (g *Gateway) Resolve(host, path, key string) (Access, string, error) {
	n := g.node
	current := n.catalog.Load()
	confirmedAge := age(n.confirmedAt.Load())
	if current == nil || confirmedAge > n.options.MaxConfigurationAge {
		return Access{}, "", g.refuseBeforeReadingBody(host, path, confirmedAge, fault.New(fault.ConfigurationStale, "the configuration is missing or too old to authorize requests"))
	}
	queue := current.Match(host, path)
	if queue == nil {
		return Access{}, "", g.refuseBeforeReadingBody(host, path, confirmedAge, fault.New(fault.NotFound, "no queue matches this host and path"))
	}
	access := Access{Queue: *queue}
	tenant, known := current.TenantOf(key)
	if !known && !queue.Public {
		return Access{}, "", g.refuseBeforeReadingBody(host, path, confirmedAge, fault.New(fault.Unauthenticated, "the API key is unknown and the queue is not public"))
	}
	access.Tenant = tenant
	return access, path[len(queue.PathPrefix):], nil
}

// maxLoggedPathBytes is how much of a refused request's path is logged.
const maxLoggedPathBytes = 200

// refuseBeforeReadingBody logs and counts the refusal of a request whose body was not read. The
// logged job identifier comes from the end of the path, as the body is not available.
func (g *Gateway) refuseBeforeReadingBody(host, path string, confirmedAge time.Duration, err *fault.Error) error {
	var version int64
	if current := g.node.catalog.Load(); current != nil {
		version = current.Version
	}
	g.node.dependencies.Recorder.LogEvent("request refused", "host", host, "path", path[:min(len(path), maxLoggedPathBytes)],
		"job", jobInPath(path), "reason", string(err.Kind), "configuration", version, "configuration_age_ms", confirmedAge.Milliseconds())
	return g.countRefusal(err)
}

// jobInPath returns the job identifier at the end of a path, or an empty string.
func jobInPath(path string) string {
	last := path[strings.LastIndexByte(path, '/')+1:]
	if taskgraph.ValidID(last) {
		return last
	}
	return ""
}

// countRefusal counts a refusal and returns the given error.
func (g *Gateway) countRefusal(err error) error {
	g.node.dependencies.Recorder.Count("refusals", string(fault.From(err).Kind))
	return err
}

// Submit accepts a job. When Submit succeeds, the job is in the store.
func (g *Gateway) Submit(ctx context.Context, access Access, spec *taskgraph.Spec) error {
	if err := spec.Validate(); err != nil {
		return g.countRefusal(err)
	}
	receivedAt := time.Now()
	job := &pool.Accepted{Spec: *spec, Tenant: access.Tenant, Queue: access.Queue, AcceptedMillis: receivedAt.UnixMilli()}
	err := withTimeout(ctx, submitTimeout, func(ctx context.Context) error {
		return g.commitJob(ctx, access.Queue.Pool, job)
	})
	if err != nil {
		g.node.dependencies.Recorder.LogEvent("job not accepted", "job", spec.ID, "queue", access.Queue.Name, "reason", string(fault.From(err).Kind),
			"detail", fault.From(err).Detail, "store_answered_ms_ago", g.node.storeAge().Milliseconds())
		return g.countRefusal(err)
	}
	g.node.dependencies.Recorder.Count("job_transitions", "accepted")
	g.node.dependencies.Recorder.Observe("acceptance", time.Since(receivedAt))
	g.node.dependencies.Recorder.LogEvent("job accepted", "job", spec.ID, "queue", access.Queue.Name, "tenant", access.Tenant)
	return nil
}

// lessCertainFault returns the fault whose outcome is less certain: a if its outcome is unknown,
// else b.
func lessCertainFault(a, b error) error {
	if a != nil && fault.IsKind(a, fault.OutcomeUnknown) {
		return a
	}
	return b
}

func withTimeout(ctx context.Context, limit time.Duration, work func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return work(ctx)
}

// storeWriteFault converts an error of a store write into a fault.
func storeWriteFault(err error) error {
	if errors.Is(err, rows.ErrNoEffect) {
		return fault.New(fault.StoreUnavailable, "store request failed; nothing was changed")
	}
	return fault.New(fault.OutcomeUnknown, "store outcome unknown; a write may have taken effect")
}

// partitionHedgeDelay is how long a partition of the store may take before the write is also sent
// to the next partition. It is longer than a commit to a very slow store takes: some 0.5 s if the
// store is fifty times slower than usual.
const partitionHedgeDelay = 600 * time.Millisecond

// commitJob writes an accepted job into one of the job's partitions. It tries the next partition
// when a write fails, and each partitionHedgeDelay unless the store as a whole is slow. Writing the
// job to several partitions is harmless.
func (g *Gateway) commitJob(ctx context.Context, poolName string, job *pool.Accepted) error {
	value := pool.Encode(job)
	parts := pool.JobPartitions(poolName, job.Spec.ID)
	results := make(chan error, len(parts))
	inFlight := 0
	startAttempt := func() {
		key := pool.AcceptedKey(parts[0], job.Spec.ID)
		parts = parts[1:]
		inFlight++
		go func() { results <- g.commitJobRow(ctx, key, value, job) }()
	}
	startAttempt()
	hedge := time.NewTicker(partitionHedgeDelay)
	defer hedge.Stop()
	var failure error
	for inFlight > 0 {
		select {
		case err := <-results:
			inFlight--
			if err == nil || fault.IsKind(err, fault.DuplicateID) {
				return err
			}
			failure = lessCertainFault(failure, err)
		case <-hedge.C:
			if g.node.storeSlow() {
				continue
			}
		}
		if len(parts) > 0 && ctx.Err() == nil {
			startAttempt()
		}
	}
	return failure
}

// commitJobRow writes an accepted job into one partition.
func (g *Gateway) commitJobRow(ctx context.Context, key rows.Key, value []byte, job *pool.Accepted) error {
	result, err := g.node.ports.commit(ctx, rows.Transaction{
		Conditions: []rows.Condition{{Key: key, Version: rows.Absent}},
		Puts:       []rows.Put{{Key: key, Value: value}},
	})
	switch {
	case err != nil:
		return storeWriteFault(err)
	case result.Committed:
		g.node.announce(job.Queue.Pool, rows.Row{Key: key, Value: value, Version: result.Version})
		return nil
	}
	return checkDuplicate(result, job)
}

// checkDuplicate compares a job with the stored job of the same identifier. It returns nil if both
// are the same job, submitted twice, and a fault otherwise.
func checkDuplicate(result rows.Result, job *pool.Accepted) error {
	for i := range result.Current {
		var known pool.Accepted
		if err := json.Unmarshal(result.Current[i].Value, &known); err != nil {
			continue
		}
		if known.Tenant == job.Tenant && string(pool.Encode(known.Spec)) == string(pool.Encode(job.Spec)) {
			return nil
		}
	}
	return fault.NewField(fault.DuplicateID, "id", "a different job with this identifier exists")
}

// Cancel cancels a job. When Cancel succeeds, the cancellation is in the store.
func (g *Gateway) Cancel(ctx context.Context, access Access, id string) error {
	if !taskgraph.ValidID(id) {
		return g.countRefusal(fault.New(fault.UnknownJob, "no such job"))
	}
	err := withTimeout(ctx, submitTimeout, func(ctx context.Context) error {
		return g.commitCancel(ctx, access.Queue.Pool, id)
	})
	if err != nil {
		g.node.dependencies.Recorder.LogEvent("cancellation refused", "job", id, "reason", string(fault.From(err).Kind))
		return g.countRefusal(err)
	}
	g.node.dependencies.Recorder.LogEvent("cancellation accepted", "job", id)
	return nil
}

// cancellation is the row of a canceled job.
type cancellation struct {
	AtMillis int64 `json:"at_ms"`
}

// commitCancel writes a cancellation to the partition that holds the job's accepted row. If that
// partition is unavailable, commitCancel tries the job's other partitions.
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
	parts := append([]string{accepted}, pool.JobPartitions(poolName, id)...)
	var failure error
	for _, part := range parts {
		_, err := g.node.ports.commit(ctx, rows.Transaction{Puts: []rows.Put{{Key: pool.CancelledKey(part, id), Value: value}}})
		if err == nil {
			return nil
		}
		failure = lessCertainFault(failure, storeWriteFault(err))
	}
	return failure
}
