package node

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/wheatroad/wheatroad/internal/fault"
	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/rows"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// Submit accepts a job. When Submit succeeds, the job is in the store.
func (g *Gateway) Submit(ctx context.Context, access Access, spec *taskgraph.Spec) error {
	if err := spec.Validate(); err != nil {
		return g.countRefusal(err)
	}
	receivedAt := time.Now()
	job := &pool.Accepted{Spec: *spec, Tenant: access.Tenant, Queue: access.Queue, AcceptedMillis: receivedAt.UnixMilli()}
	var stored acceptedRow
	err := g.checkRowSize(job)
	if err == nil {
		err = withTimeout(ctx, submitTimeout, func(ctx context.Context) (err error) {
			stored, err = g.acceptJob(ctx, access, job)
			return err
		})
	}
	if err != nil {
		g.node.dependencies.Recorder.LogEvent("job not accepted", "job", spec.ID, "queue", access.Queue.Name, "pool", access.Queue.Pool, "reason", string(fault.From(err).Kind),
			"detail", fault.From(err).Detail, "store_answered_ms_ago", g.node.storeAge().Milliseconds(), "configuration", access.ConfigurationVersion)
		return g.countRefusal(err)
	}
	g.node.dependencies.Recorder.Count("job_transitions", "accepted")
	g.node.dependencies.Recorder.Observe("acceptance", time.Since(receivedAt))
	g.node.dependencies.Recorder.LogEvent("job accepted", "job", spec.ID, "queue", access.Queue.Name, "tenant", access.Tenant,
		"part", stored.part, "revision", stored.version, "known", stored.known, "configuration", access.ConfigurationVersion)
	return nil
}

// checkRowSize returns a fault if the store does not take the job's accepted row.
func (g *Gateway) checkRowSize(job *pool.Accepted) error {
	bytes, limit := len(pool.Encode(job)), rows.RowLimit(g.node.options.MaxRowBytes)
	if bytes > limit {
		return fault.NewField(fault.TooLarge, "steps", "the job takes %d bytes to keep; at most %d are allowed", bytes, limit)
	}
	return nil
}

// acceptedRow is the accepted row of a submitted job.
type acceptedRow struct {
	part string
	// version is the row's version in the store.
	version int64
	// known is true if an earlier submission of the job wrote the row.
	known bool
}

// acceptJob writes an accepted job into the pool of its queue, unless another pool has accepted the
// job before and the owner of the queue's pool would not notice.
func (g *Gateway) acceptJob(ctx context.Context, access Access, job *pool.Accepted) (acceptedRow, error) {
	elsewhere, err := g.findAcceptedElsewhere(ctx, access.Queue.Pool, job)
	switch {
	case err != nil:
		return acceptedRow{}, err
	case elsewhere != nil:
		return *elsewhere, nil
	}
	return g.commitJob(ctx, access.Queue.Pool, job)
}

// commitOutcome is the outcome of a write of an accepted row into one partition.
type commitOutcome struct {
	stored acceptedRow
	err    error
}

// partitionHedgeDelay is how long a partition of the store may take before the write is also sent
// to the next partition. It is longer than a commit to a very slow store takes: some 0.5 s if the
// store is fifty times slower than usual.
const partitionHedgeDelay = 600 * time.Millisecond

// commitJob writes an accepted job into one of the job's partitions. It tries the next partition
// when a write fails, and each partitionHedgeDelay unless the store as a whole is slow. Writing the
// job to several partitions is harmless.
func (g *Gateway) commitJob(ctx context.Context, poolName string, job *pool.Accepted) (acceptedRow, error) {
	value := pool.Encode(job)
	parts := pool.JobPartitions(poolName, job.Spec.ID)
	results := make(chan commitOutcome, len(parts))
	inFlight := 0
	startAttempt := func() {
		key := pool.AcceptedKey(parts[0], job.Spec.ID)
		parts = parts[1:]
		inFlight++
		go func() {
			stored, err := g.commitJobRow(ctx, key, value, job)
			results <- commitOutcome{stored, err}
		}()
	}
	startAttempt()
	hedge := time.NewTicker(partitionHedgeDelay)
	defer hedge.Stop()
	var failure error
	for inFlight > 0 {
		select {
		case outcome := <-results:
			inFlight--
			if outcome.err == nil || fault.IsKind(outcome.err, fault.DuplicateID) || fault.IsKind(outcome.err, fault.StoreRejected) {
				return outcome.stored, outcome.err
			}
			failure = lessCertainFault(failure, outcome.err)
		case <-hedge.C:
			if g.node.storeSlow() {
				continue
			}
		}
		if len(parts) > 0 && ctx.Err() == nil {
			startAttempt()
		}
	}
	return acceptedRow{}, failure
}

// commitJobRow writes an accepted job into one partition.
func (g *Gateway) commitJobRow(ctx context.Context, key rows.Key, value []byte, job *pool.Accepted) (acceptedRow, error) {
	result, err := g.node.ports.commit(ctx, rows.Transaction{
		Conditions: []rows.Condition{{Key: key, Version: rows.Absent}},
		Puts:       []rows.Put{{Key: key, Value: value}},
	})
	switch {
	case err != nil:
		return acceptedRow{}, storeWriteFault(err)
	case result.Committed:
		g.node.announce(job.Queue.Pool, rows.Row{Key: key, Value: value, Version: result.Version})
		return acceptedRow{part: key.Part, version: result.Version}, nil
	}
	return checkDuplicate(result, job)
}

// checkDuplicate compares a job with the stored job of the same identifier. It returns the stored
// row if both are the same job, submitted twice, and a fault otherwise.
func checkDuplicate(result rows.Result, job *pool.Accepted) (acceptedRow, error) {
	for i := range result.Current {
		row := &result.Current[i]
		var known pool.Accepted
		if err := json.Unmarshal(row.Value, &known); err != nil {
			continue
		}
		if sameJob(&known, job) {
			return acceptedRow{part: row.Part, version: row.Version, known: true}, nil
		}
	}
	return acceptedRow{}, duplicateIDFault()
}

// sameJob reports whether two submissions with one identifier are of the same job.
func sameJob(a, b *pool.Accepted) bool {
	return a.Tenant == b.Tenant && bytes.Equal(pool.Encode(a.Spec), pool.Encode(b.Spec))
}

func duplicateIDFault() error {
	return fault.NewField(fault.DuplicateID, "id", "a different job with this identifier exists")
}
