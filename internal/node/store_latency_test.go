package node

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/rows"
)

// Hedged and relayed duplicates of a transaction multiply the load of an overloaded store until
// submissions time out.

// overloadedStore delays each call and counts the transactions of jobs.
type overloadedStore struct {
	*fakeStore
	latency time.Duration
	mutex   sync.Mutex
	commits int
}

func (s *overloadedStore) wait(ctx context.Context) error {
	select {
	case <-time.After(s.latency):
		return nil
	case <-ctx.Done():
		return errors.Mark(ctx.Err(), rows.ErrOutcomeUnknown)
	}
}

func (s *overloadedStore) Commit(ctx context.Context, transaction rows.Transaction) (rows.Result, error) {
	s.mutex.Lock()
	s.commits++
	s.mutex.Unlock()
	// Transactions queue for their partition and take longer than reads.
	for range 2 {
		if err := s.wait(ctx); err != nil {
			return rows.Result{}, err
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.fakeStore.Commit(ctx, transaction)
}

func (s *overloadedStore) Scan(ctx context.Context, table, part, prefix string) (rows.Listing, error) {
	if err := s.wait(ctx); err != nil {
		return rows.Listing{}, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.fakeStore.Scan(ctx, table, part, prefix)
}

func (s *overloadedStore) Partitions(ctx context.Context, table string) ([]string, error) {
	if err := s.wait(ctx); err != nil {
		return nil, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.fakeStore.Partitions(ctx, table)
}

func TestSlowStoreGetsEachJobOnce(t *testing.T) {
	cases := map[string]time.Duration{
		"sixty times slower":  320 * time.Millisecond,
		"ninety times slower": 480 * time.Millisecond,
	}
	for name, latency := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := &overloadedStore{fakeStore: newFakeStore(), latency: latency}
			gateway := newGatewayWithPeer(t, store, store)
			gateway.node.recordReportedLatency(latency.Milliseconds())
			require.NoError(t, gateway.Submit(t.Context(), testAccess(), testSpec()))
			store.mutex.Lock()
			defer store.mutex.Unlock()
			require.Equal(t, 1, store.commits)
			require.False(t, gateway.node.storeLost(), "the store answers and must not count as lost")
		})
	}
}

// TestWriteIsHedgedWhileStoreIsFast: a write to an unresponsive partition must be hedged to a
// second partition while the store as a whole is fast.
func TestWriteIsHedgedWhileStoreIsFast(t *testing.T) {
	store := &hangingPartitionStore{fakeStore: newFakeStore(), part: pool.JobPartitions(poolName, jobID)[0]}
	gateway := newGateway(t, store)
	gateway.node.recordReportedLatency(5)
	require.NoError(t, gateway.Submit(t.Context(), testAccess(), testSpec()))
	require.Contains(t, store.rows, pool.AcceptedKey(pool.JobPartitions(poolName, jobID)[1], jobID))
}

func TestLeastLatencyFollowsTheStore(t *testing.T) {
	var window latencyWindow
	start := time.Now()
	_, known := window.minimum(start)
	require.False(t, known)
	window.record(start, 300*time.Millisecond)
	window.record(start, 20*time.Millisecond)
	least, known := window.minimum(start)
	require.True(t, known)
	require.Equal(t, 20*time.Millisecond, least, "one slow answer must not make the store slow")
	later := start.Add(latencyPeriod)
	window.record(later, 310*time.Millisecond)
	window.record(later.Add(latencyPeriod), 320*time.Millisecond)
	least, _ = window.minimum(later.Add(latencyPeriod))
	require.Equal(t, 310*time.Millisecond, least, "older periods must not count")
	_, known = window.minimum(later.Add(4 * latencyPeriod))
	require.False(t, known)
}

// TestOwnLatencyOverridesReportedLatency: a store that responds quickly to this node must not count
// as slow because an owner reports otherwise.
func TestOwnLatencyOverridesReportedLatency(t *testing.T) {
	n := newGateway(t, newFakeStore()).node
	require.False(t, n.storeSlow())
	n.recordReportedLatency(400)
	require.True(t, n.storeSlow())
	n.storeLatency.record(time.Now(), 5*time.Millisecond)
	require.False(t, n.storeSlow())
}
