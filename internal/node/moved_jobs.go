package node

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/wheatroad/wheatroad/internal/fault"
	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/rows"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// A job stays in the pool that accepted it first, even if its queue leads to another pool since, or
// the accepting node held another version of the configuration.

// movedJob is the accepted row of a job in a pool other than that of its queue.
type movedJob struct {
	pool string
	acceptedRow
	accepted  pool.Accepted
	cancelled bool
}

// findMovedJob finds a job in all pools but that of the queue. The result is nil if no pool has the
// job, or the job belongs to another tenant. If several pools have it, the earliest row counts.
func (g *Gateway) findMovedJob(ctx context.Context, access Access, id string) (*movedJob, error) {
	names, err := g.node.poolsWithJobs(ctx)
	if err != nil {
		return nil, err
	}
	names = slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == access.Queue.Pool })
	found, err := g.findInPools(ctx, names, id)
	if found == nil || !access.Queue.Public && found.accepted.Tenant != access.Tenant {
		return nil, err
	}
	return found, nil
}

// findInPools returns a job's earliest accepted row in the given pools, or nil. If a partition could
// not be read, findInPools returns an error unless it found the job in another one.
func (g *Gateway) findInPools(ctx context.Context, names []string, id string) (*movedJob, error) {
	results := make(chan poolSearch, len(names))
	for _, name := range names {
		go func() { results <- g.searchPool(ctx, name, id) }()
	}
	var earliest *movedJob
	var failure error
	for range names {
		result := <-results
		if result.err != nil {
			failure = result.err
		}
		if result.found != nil && (earliest == nil || result.found.version < earliest.version) {
			earliest = result.found
		}
	}
	if earliest != nil {
		return earliest, nil
	}
	return nil, failure
}

// poolSearch is the result of a search for a job in one pool.
type poolSearch struct {
	found *movedJob
	err   error
}

// searchPool reads a job's partitions of one pool.
func (g *Gateway) searchPool(ctx context.Context, poolName, id string) poolSearch {
	var search poolSearch
	cancelled := false
	for _, part := range pool.JobPartitions(poolName, id) {
		listing, err := g.node.ports.scan(ctx, pool.JobTable, part, id)
		if err != nil {
			search.err = storeReadFault(err)
			continue
		}
		cancelled = cancelled || hasRow(listing, pool.CancelledKey(part, id))
		if found := decodeMovedJob(poolName, part, id, listing); found != nil && search.found == nil {
			search.found = found
		}
	}
	if search.found != nil {
		search.found.cancelled = cancelled
	}
	return search
}

// decodeMovedJob returns a job's accepted row in a listing of a partition, or nil.
func decodeMovedJob(poolName, part, id string, listing rows.Listing) *movedJob {
	for i := range listing.Rows {
		row := &listing.Rows[i]
		found := &movedJob{pool: poolName, acceptedRow: acceptedRow{part: part, version: row.Version, known: true}}
		if row.Key == pool.AcceptedKey(part, id) && json.Unmarshal(row.Value, &found.accepted) == nil {
			return found
		}
	}
	return nil
}

// lookupMovedJob returns the state of a job that its queue's pool does not have.
func (g *Gateway) lookupMovedJob(ctx context.Context, access Access, id string) (taskgraph.State, error) {
	var found *movedJob
	err := withTimeout(ctx, submitTimeout, func(ctx context.Context) (err error) {
		found, err = g.findMovedJob(ctx, access, id)
		return err
	})
	if err != nil {
		return "", err
	}
	if found == nil {
		return "", fault.New(fault.UnknownJob, "no such job")
	}
	return g.lookupInPool(ctx, found.pool, id)
}

// findAcceptedElsewhere returns the row by which another known pool accepted a job, and a fault if
// that is a different job. An owner of the queue's pool that compares pools ignores a copy of the
// job, so it needs no search; owners of older versions would run the copy.
func (g *Gateway) findAcceptedElsewhere(ctx context.Context, poolName string, job *pool.Accepted) (*acceptedRow, error) {
	if g.ownerComparesPools(poolName) {
		return nil, nil
	}
	found, err := g.findInPools(ctx, g.node.otherKnownPools(poolName), job.Spec.ID)
	switch {
	case err != nil || found == nil:
		return nil, err
	case !sameJob(&found.accepted, job):
		return nil, duplicateIDFault()
	}
	return &found.acceptedRow, nil
}

func (g *Gateway) ownerComparesPools(poolName string) bool {
	current := g.node.snapshot.Load()
	return current.owned[poolName] != nil || current.leases[poolName].ComparesPools
}

func (n *Node) otherKnownPools(poolName string) []string {
	return slices.DeleteFunc(n.knownPools(), func(name string) bool { return name == poolName })
}
