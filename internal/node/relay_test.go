package node

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/fault"
	"github.com/wheatroad/wheatroad/internal/peer"
	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/rows"
)

// hangingStore does not respond before the caller gives up.
type hangingStore struct{ rows.Store }

func (hangingStore) Commit(ctx context.Context, _ rows.Transaction) (rows.Result, error) {
	<-ctx.Done()
	return rows.Result{}, errors.Mark(ctx.Err(), rows.ErrOutcomeUnknown)
}

func (hangingStore) Scan(ctx context.Context, _, _, _ string) (rows.Listing, error) {
	<-ctx.Done()
	return rows.Listing{}, errors.Mark(ctx.Err(), rows.ErrOutcomeUnknown)
}

func (s hangingStore) Partitions(ctx context.Context, _ string) ([]string, error) {
	_, err := s.Scan(ctx, "", "", "")
	return nil, err
}

func (s hangingStore) Page(ctx context.Context, _, _, _ string, _ int) (rows.Listing, error) {
	return s.Scan(ctx, "", "", "")
}

// refusingStore refuses every call.
type refusingStore struct{ rows.Store }

func (refusingStore) Commit(context.Context, rows.Transaction) (rows.Result, error) {
	return rows.Result{}, rows.ErrNoEffect
}

func (refusingStore) Scan(context.Context, string, string, string) (rows.Listing, error) {
	return rows.Listing{}, rows.ErrNoEffect
}

func (refusingStore) Partitions(context.Context, string) ([]string, error) {
	return nil, rows.ErrNoEffect
}

func (refusingStore) Page(context.Context, string, string, string, int) (rows.Listing, error) {
	return rows.Listing{}, rows.ErrNoEffect
}

func (refusingStore) Feed(context.Context, string, int64, time.Duration) (rows.Listing, error) {
	return rows.Listing{}, rows.ErrNoEffect
}

// servePeers serves a node's peer requests and returns its address.
func servePeers(t *testing.T, n *Node) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() { _ = peer.NewServer(n.ServePeer).Serve(listener) }()
	return listener.Addr().String()
}

// newGatewayWithPeer returns a gateway to a node that uses ownStore. The cluster has one other
// node, which uses peersStore.
func newGatewayWithPeer(t *testing.T, ownStore, peersStore rows.Store) *Gateway {
	gateway := newGateway(t, ownStore)
	address := servePeers(t, newGateway(t, peersStore).node)
	gateway.node.snapshot.Store(&snapshot{members: []member{{Name: "node-2", Address: address}}})
	return gateway
}

func TestNodeWithoutTheStoreWritesThroughAnother(t *testing.T) {
	for name, ownStore := range map[string]rows.Store{"store refuses": refusingStore{}, "store unresponsive": hangingStore{}} {
		t.Run(name, func(t *testing.T) {
			store := newFakeStore()
			gateway := newGatewayWithPeer(t, ownStore, store)
			require.NoError(t, gateway.Submit(context.Background(), testAccess(), testSpec()))
			require.Contains(t, store.rows, pool.AcceptedKey(pool.JobPartitions(poolName, jobID)[0], jobID))
			require.Less(t, gateway.node.storeReachedAge(), time.Minute)
		})
	}
}

func TestFeedGoesThroughAnotherNodeOnceTheStoreIsLost(t *testing.T) {
	gateway := newGatewayWithPeer(t, refusingStore{}, feedStore{})
	n := gateway.node
	_, err := n.store.Feed(context.Background(), "t", 1, time.Millisecond)
	require.ErrorIs(t, err, rows.ErrNoEffect)
	require.True(t, n.storeLost())
	listing, err := n.store.Feed(context.Background(), "t", 1, time.Millisecond)
	require.NoError(t, err)
	require.Equal(t, int64(7), listing.Version)
	_, err = n.store.Feed(context.Background(), truncatedTable, 1, time.Millisecond)
	require.ErrorIs(t, err, rows.ErrHistoryExpired)
	require.True(t, n.storeLost(), "a relayed answer must not count as a direct one")
}

const truncatedTable = "gone"

// feedStore responds to feeds at once.
type feedStore struct{ rows.Store }

func (feedStore) Feed(_ context.Context, table string, _ int64, _ time.Duration) (rows.Listing, error) {
	if table == truncatedTable {
		return rows.Listing{}, rows.ErrHistoryExpired
	}
	return rows.Listing{Version: 7}, nil
}

func TestStoreLostToAllNodesFailsAtOnce(t *testing.T) {
	gateway := newGatewayWithPeer(t, refusingStore{}, refusingStore{})
	err := gateway.Submit(context.Background(), testAccess(), testSpec())
	require.True(t, fault.IsKind(err, fault.StoreUnavailable), "%v", err)
}

func TestRequestWithoutACallToTheStoreIsRefused(t *testing.T) {
	_, err := newGateway(t, newFakeStore()).node.serveStore(context.Background(), storeRequest{})
	require.True(t, fault.IsKind(err, fault.InvalidRequest), "%v", err)
}

// waitingStore responds to a feed after the feed's wait.
type waitingStore struct{ rows.Store }

func (waitingStore) Feed(ctx context.Context, _ string, _ int64, wait time.Duration) (rows.Listing, error) {
	select {
	case <-time.After(wait):
		return rows.Listing{}, nil
	case <-ctx.Done():
		return rows.Listing{}, errors.Mark(ctx.Err(), rows.ErrOutcomeUnknown)
	}
}

func TestIdleFeedsAreCanceled(t *testing.T) {
	n := newGateway(t, waitingStore{}).node
	ended := make(chan error, 1)
	go func() {
		_, err := n.store.Feed(context.Background(), "t", 1, time.Hour)
		ended <- err
	}()
	require.Eventually(t, func() bool {
		n.feeds.mutex.Lock()
		defer n.feeds.mutex.Unlock()
		return len(n.feeds.pending) == 1
	}, time.Minute, time.Millisecond)
	n.feeds.cancelIdle(2 * time.Hour)
	require.Empty(t, ended, "feeds with a shorter wait must not be canceled")
	n.feeds.cancelIdle(time.Hour)
	require.ErrorIs(t, <-ended, errReadCanceled)
	require.False(t, n.storeLost(), "a canceled feed must not count as a failure of the store")
}

// TestConfigurationFeedWait: the wait is short on owners and long on nodes whose configuration an
// owner confirms. Once the confirmation is stale, feeds return at once.
func TestConfigurationFeedWait(t *testing.T) {
	ago := func(d time.Duration) *time.Time {
		at := time.Now().Add(-d)
		return &at
	}
	cases := map[string]struct {
		confirmed, confirmedByPeer time.Duration
		owner                      bool
		want                       time.Duration
	}{
		"confirmed by an owner":         {100 * time.Millisecond, 100 * time.Millisecond, false, longFeedWait},
		"not confirmed by a peer":       {100 * time.Millisecond, time.Hour, false, defaultFeedWait},
		"owner":                         {100 * time.Millisecond, 100 * time.Millisecond, true, ownerFeedWait},
		"stale confirmation":            {2 * time.Second, time.Hour, false, immediateFeedWait},
		"owner with stale confirmation": {2 * time.Second, time.Hour, true, immediateFeedWait},
	}
	for name, c := range cases {
		n := newGateway(t, newFakeStore()).node
		n.confirmedAt.Store(ago(c.confirmed))
		n.confirmedByPeerAt.Store(ago(c.confirmedByPeer))
		if c.owner {
			n.owned[poolName] = &pool.Pool{}
		}
		require.Equal(t, c.want, n.configurationFeedWait(), name)
	}
}

// slowStore delays transactions and counts them.
type slowStore struct {
	*fakeStore
	commits atomic.Int32
}

func (s *slowStore) Commit(ctx context.Context, transaction rows.Transaction) (rows.Result, error) {
	s.commits.Add(1)
	select {
	case <-time.After(probeAfter + 100*time.Millisecond):
		return s.fakeStore.Commit(ctx, transaction)
	case <-ctx.Done():
		return rows.Result{}, errors.Mark(ctx.Err(), rows.ErrOutcomeUnknown)
	}
}

// Scan responds to probes.
func (s *slowStore) Scan(context.Context, string, string, string) (rows.Listing, error) {
	return rows.Listing{}, nil
}

// TestSlowStoreIsNotQueriedTwice: a node must not relay a call to a store that is only slow, as the
// duplicate would add to the store's load.
func TestSlowStoreIsNotQueriedTwice(t *testing.T) {
	store := &slowStore{fakeStore: newFakeStore()}
	gateway := newGatewayWithPeer(t, store, store)
	require.NoError(t, gateway.Submit(context.Background(), testAccess(), testSpec()))
	require.Equal(t, int32(1), store.commits.Load())
	require.False(t, gateway.node.storeLost())
}

// TestConfirmationAgesOverSlowLinks: the age of a confirmation must count from the time of the
// request, not of the reply.
func TestConfirmationAgesOverSlowLinks(t *testing.T) {
	n := newGateway(t, newFakeStore()).node
	n.confirmedAt.Store(nil)
	requestedAt := time.Now().Add(-time.Minute)
	n.handleConfigurationStatus("", configurationStatus{Version: 1, AgeMillis: 500}, requestedAt)
	require.Equal(t, requestedAt.Add(-500*time.Millisecond), *n.confirmedAt.Load())
}

// TestFeedsOfAVerySlowStoreAreWaitedFor: the grace period of feeds must grow while feeds time out,
// or a node could not follow a very slow store.
func TestFeedsOfAVerySlowStoreAreWaitedFor(t *testing.T) {
	n := newGateway(t, newFakeStore()).node
	require.Equal(t, feedGrace, n.currentFeedGrace())
	n.recordFeedResult(rows.ErrOutcomeUnknown)
	require.Equal(t, 2*feedGrace, n.currentFeedGrace())
	for range 40 {
		n.recordFeedResult(rows.ErrOutcomeUnknown)
	}
	require.Equal(t, maxFeedGrace, n.currentFeedGrace())
	n.recordFeedResult(rows.ErrHistoryExpired)
	require.Equal(t, feedGrace, n.currentFeedGrace())
}
