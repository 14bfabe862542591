package node

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/catalog"
	"github.com/wheatroad/wheatroad/internal/fault"
	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/rows"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// nextPool is the pool to which the queue leads after it has moved.
const nextPool = "workers-2"

func accessTo(poolName, tenant string) Access {
	return Access{Queue: catalog.Queue{Name: "q", Pool: poolName}, Tenant: tenant}
}

// twoPools returns a configuration that lists both pools.
func twoPools() *catalog.Catalog {
	listed := &catalog.Catalog{Version: 2, Pools: []catalog.Pool{{Name: poolName}, {Name: nextPool}}}
	listed.Index()
	return listed
}

// withoutPartitions is a store that does not list partitions.
type withoutPartitions struct {
	*fakeStore
	err error
}

func (s *withoutPartitions) Partitions(context.Context, string) ([]string, error) { return nil, s.err }

// TestMovedJobIsFoundAndCanceled guards against 410 for a job whose queue leads to another pool
// since, and against a cancellation that its owner does not see.
func TestMovedJobIsFoundAndCanceled(t *testing.T) {
	store := newFakeStore()
	g := newGateway(t, store)
	require.NoError(t, g.Submit(t.Context(), accessTo(poolName, "tenant"), testSpec()))
	moved := accessTo(nextPool, "tenant")
	state, err := g.Lookup(t.Context(), moved, jobID)
	require.NoError(t, err)
	require.Equal(t, taskgraph.Queued, state)
	require.NoError(t, g.Cancel(t.Context(), moved, jobID))
	key := pool.CancelledKey(pool.JobPartitions(poolName, jobID)[0], jobID)
	require.Contains(t, store.rows, key, "beside the accepted row")
	state, err = g.Lookup(t.Context(), moved, jobID)
	require.NoError(t, err)
	require.Equal(t, taskgraph.Cancelled, state)
}

// TestMovedJobIsOfItsTenant guards against a queue's move that lets other tenants find a job.
func TestMovedJobIsOfItsTenant(t *testing.T) {
	g := newGateway(t, newFakeStore())
	require.NoError(t, g.Submit(t.Context(), accessTo(poolName, "tenant"), testSpec()))
	_, err := g.Lookup(t.Context(), accessTo(nextPool, "other"), jobID)
	require.True(t, fault.IsKind(err, fault.UnknownJob), "%v", err)
	err = g.Cancel(t.Context(), accessTo(nextPool, "other"), jobID)
	require.True(t, fault.IsKind(err, fault.UnknownJob), "%v", err)
	public := accessTo(nextPool, "")
	public.Queue.Public = true
	_, err = g.Lookup(t.Context(), public, jobID)
	require.NoError(t, err, "a public queue needs no key")
}

// TestJobIsNotDeniedWhileOtherPoolsAreUnread guards against 410 for a job that may be in a pool that
// could not be read.
func TestJobIsNotDeniedWhileOtherPoolsAreUnread(t *testing.T) {
	store := newFakeStore()
	g := newGateway(t, store)
	require.NoError(t, g.Submit(t.Context(), accessTo(poolName, "tenant"), testSpec()))
	moved := accessTo(nextPool, "tenant")
	unread := newGateway(t, &withoutPartitions{fakeStore: store, err: rows.ErrNoEffect})
	for _, call := range []func() error{
		func() error { _, err := unread.Lookup(t.Context(), moved, jobID); return err },
		func() error { return unread.Cancel(t.Context(), moved, jobID) },
	} {
		require.True(t, fault.IsKind(call(), fault.StoreUnavailable))
	}
	store.refuse[pool.JobPartitions(poolName, jobID)[0]] = true
	_, err := g.Lookup(t.Context(), moved, jobID)
	require.True(t, fault.IsKind(err, fault.StoreUnavailable), "%v", err)
}

// TestMovedJobIsFoundInConfiguredPools checks that a store which lists no partitions is searched for
// the pools of the configuration.
func TestMovedJobIsFoundInConfiguredPools(t *testing.T) {
	g := newGateway(t, &withoutPartitions{fakeStore: newFakeStore(), err: rows.ErrUnsupported})
	g.node.catalog.Store(twoPools())
	require.NoError(t, g.Submit(t.Context(), accessTo(poolName, "tenant"), testSpec()))
	_, err := g.Lookup(t.Context(), accessTo(nextPool, "tenant"), jobID)
	require.NoError(t, err)
}

// TestOlderOwnerGetsNoCopyOfAnotherPoolsJob guards against a job that runs twice through a node of
// this version, because the owner of its second pool is of a version that does not compare pools.
func TestOlderOwnerGetsNoCopyOfAnotherPoolsJob(t *testing.T) {
	cases := map[string]struct {
		lease   pool.Lease
		payload string
		copied  bool
		refusal fault.Kind
	}{
		"older owner":                {lease: pool.Lease{Owner: "node-2"}},
		"no owner known":             {},
		"older owner, different job": {lease: pool.Lease{Owner: "node-2"}, payload: "other", refusal: fault.DuplicateID},
		"owner that compares pools":  {lease: pool.Lease{Owner: "node-2", ComparesPools: true}, copied: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			store := newFakeStore()
			g := newGateway(t, store)
			g.node.catalog.Store(twoPools())
			require.NoError(t, g.Submit(t.Context(), accessTo(poolName, "tenant"), testSpec()))
			g.node.leases[nextPool] = versionedLease{Lease: c.lease, version: 7}
			g.node.publishSnapshot()
			again := testSpec()
			again.Payload = c.payload
			err := g.Submit(t.Context(), accessTo(nextPool, "tenant"), again)
			if c.refusal != "" {
				require.True(t, fault.IsKind(err, c.refusal), "%v", err)
			} else {
				require.NoError(t, err)
			}
			key := pool.AcceptedKey(pool.JobPartitions(nextPool, jobID)[0], jobID)
			_, copied := store.rows[key]
			require.Equal(t, c.copied, copied)
		})
	}
}

// TestOlderOwnerTakesNoJobWhileOtherPoolsAreUnread checks that a job which another pool may have
// accepted is refused, and that the reads of a cluster with one pool are as before.
func TestOlderOwnerTakesNoJobWhileOtherPoolsAreUnread(t *testing.T) {
	store := newFakeStore()
	g := newGateway(t, store)
	store.refuse[pool.JobPartitions(poolName, jobID)[1]] = true
	require.NoError(t, g.Submit(t.Context(), accessTo(nextPool, "tenant"), testSpec()), "the other pool is not known")
	g.node.catalog.Store(twoPools())
	err := g.Submit(t.Context(), accessTo(nextPool, "tenant"), testSpec())
	require.True(t, fault.IsKind(err, fault.StoreUnavailable), "%v", err)
}
