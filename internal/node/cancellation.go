package node

import (
	"context"
	"time"

	"github.com/wheatroad/wheatroad/internal/fault"
	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/rows"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// Cancel cancels a job. When Cancel succeeds, the cancellation is in the store.
func (g *Gateway) Cancel(ctx context.Context, access Access, id string) error {
	if !taskgraph.ValidID(id) {
		return g.countRefusal(fault.New(fault.UnknownJob, "no such job"))
	}
	var part string
	err := withTimeout(ctx, submitTimeout, func(ctx context.Context) (err error) {
		part, err = g.commitCancel(ctx, access, id)
		return err
	})
	if err != nil {
		g.node.dependencies.Recorder.LogEvent("cancellation refused", "job", id, "reason", string(fault.From(err).Kind),
			"pool", access.Queue.Pool, "configuration", access.ConfigurationVersion)
		return g.countRefusal(err)
	}
	g.node.dependencies.Recorder.LogEvent("cancellation accepted", "job", id, "part", part, "configuration", access.ConfigurationVersion)
	return nil
}

// cancellation is the row of a canceled job.
type cancellation struct {
	AtMillis int64 `json:"at_ms"`
}

// commitCancel writes a cancellation to the partition that holds the job's accepted row. If that
// partition is unavailable, commitCancel tries the job's other partitions. It returns the partition
// of the cancellation.
func (g *Gateway) commitCancel(ctx context.Context, access Access, id string) (string, error) {
	poolName := access.Queue.Pool
	accepted, cancelled, err := g.storedJob(ctx, poolName, id)
	if err != nil {
		return "", err
	}
	if accepted == "" {
		found, err := g.findMovedJob(ctx, access, id)
		if err != nil {
			return "", err
		}
		if found == nil {
			return "", fault.New(fault.UnknownJob, "no such job")
		}
		poolName, accepted, cancelled = found.pool, found.part, found.cancelled
	}
	if cancelled {
		return accepted, nil
	}
	value := pool.Encode(cancellation{AtMillis: time.Now().UnixMilli()})
	parts := append([]string{accepted}, pool.JobPartitions(poolName, id)...)
	var failure error
	for _, part := range parts {
		_, err := g.node.ports.commit(ctx, rows.Transaction{Puts: []rows.Put{{Key: pool.CancelledKey(part, id), Value: value}}})
		if err == nil {
			return part, nil
		}
		failure = lessCertainFault(failure, storeWriteFault(err))
	}
	return "", failure
}
