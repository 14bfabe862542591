package node

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/catalog"
	"github.com/wheatroad/wheatroad/internal/loop"
	"github.com/wheatroad/wheatroad/internal/peer"
	"github.com/wheatroad/wheatroad/internal/peer/peerpb"
	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/rows"
)

// countingStore is a fakeStore that supports feeds and counts the rows that it returns.
type countingStore struct {
	mutex sync.Mutex
	*fakeStore
	returned int
}

func (s *countingStore) count(listing rows.Listing, err error) (rows.Listing, error) {
	s.returned += len(listing.Rows)
	return listing, err
}

func (s *countingStore) Commit(ctx context.Context, transaction rows.Transaction) (rows.Result, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.fakeStore.Commit(ctx, transaction)
}

func (s *countingStore) Scan(ctx context.Context, table, part, prefix string) (rows.Listing, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.count(s.fakeStore.Scan(ctx, table, part, prefix))
}

func (s *countingStore) Page(ctx context.Context, table, part, from string, limit int) (rows.Listing, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.count(s.fakeStore.Page(ctx, table, part, from, limit))
}

func (s *countingStore) Partitions(ctx context.Context, table string) ([]string, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.fakeStore.Partitions(ctx, table)
}

func (s *countingStore) Feed(ctx context.Context, table string, after int64, wait time.Duration) (rows.Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		if listing := s.changes(table, after); len(listing.Rows) > 0 || ctx.Err() != nil {
			return listing, nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func (s *countingStore) changes(table string, after int64) rows.Listing {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	listing := rows.Listing{Version: s.version}
	for key, row := range s.rows {
		if key.Table == table && row.Version > after {
			listing.Rows = append(listing.Rows, row)
		}
	}
	listing, _ = s.count(listing, nil)
	return listing
}

// writeMember writes the rows that a node writes when it starts.
func (s *countingStore) writeMember(m member) {
	var transaction rows.Transaction
	for _, key := range []rows.Key{{Table: memberTable, Name: memberRowName(m)}, {Table: pool.NodeTable, Name: m.Name}} {
		transaction.Puts = append(transaction.Puts, rows.Put{Key: key, Value: pool.Encode(m)})
	}
	_, _ = s.Commit(context.Background(), transaction)
}

// serveOwner starts a server that replies to pings like a healthy owner, and returns the server's
// address.
func serveOwner(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	servePing := func(context.Context, *peerpb.Request) ([]byte, error) {
		return json.Marshal(pingReply{Owner: true, configurationStatus: configurationStatus{Version: 1}})
	}
	go func() { _ = peer.NewServer(servePing).Serve(listener) }()
	return listener.Addr().String()
}

// TestMemberReadsDoNotGrowWithCluster: a node must read few member rows, both when it starts and
// when other nodes restart. Otherwise restarts overload the store of a large cluster.
func TestMemberReadsDoNotGrowWithCluster(t *testing.T) {
	const restarts = 200
	for _, count := range []int{100, 5000} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			t.Parallel()
			store := &countingStore{fakeStore: newFakeStore()}
			nameOf := func(i int) string { return fmt.Sprintf("other-%05d", i) }
			for i := range count {
				store.writeMember(member{Name: nameOf(i), Incarnation: "first", Weight: 0.8})
			}
			lease := pool.Lease{Owner: nameOf(0), Address: serveOwner(t), Weight: 0.8}
			_, err := store.Commit(context.Background(), rows.Transaction{Puts: []rows.Put{{Key: pool.LeaseKey(poolName), Value: pool.Encode(lease)}}})
			require.NoError(t, err)
			ctx, cancel := context.WithCancel(context.Background())
			t.Cleanup(cancel)
			eventLoop := loop.NewGoroutine()
			n := New(ctx, Options{Name: "node-1", Incarnation: "own", Weight: 0.1}, Dependencies{
				Store: store, Peers: peer.NewClient(nil), Codec: jsonCodec{}, Loop: eventLoop, Recorder: discardRecorder{},
			})
			go eventLoop.Run(ctx)
			eventLoop.Post(n.Start)
			onLoop(t, n, func() {
				n.applyDocument(pool.Encode(catalog.Catalog{Version: 1, Pools: []catalog.Pool{{Name: poolName}}, Queues: []catalog.Queue{{Pool: poolName}}}), "test")
			})
			require.Eventually(t, func() bool {
				current := n.snapshot.Load()
				return len(current.members) > 0 && current.leases[poolName].Owner != "" && n.confirmedByPeerAt.Load() != nil
			}, time.Minute, 5*time.Millisecond)
			for i := range restarts {
				store.writeMember(member{Name: nameOf(count - 1 - i%count), Incarnation: "second", Weight: 0.8})
			}
			// After two rounds of pings the node has received all changes that it follows.
			confirmedAt := *n.confirmedByPeerAt.Load()
			require.Eventually(t, func() bool { return n.confirmedByPeerAt.Load().Sub(confirmedAt) > 2*pingPeriod }, time.Minute, 5*time.Millisecond)
			store.mutex.Lock()
			defer store.mutex.Unlock()
			require.LessOrEqual(t, store.returned, 2*(candidateCount+successorCount+legacyMemberCount)+8)
		})
	}
}

func TestNamesOfMembersAreInTheOrderOfTheirWeights(t *testing.T) {
	var rowNames []string
	for _, weight := range []float64{1.6, 0.8, 0.801, 0.192, 0} {
		rowNames = append(rowNames, memberRowName(member{Name: "b", Weight: weight}))
	}
	require.Equal(t, []string{rowNames[0], rowNames[2], rowNames[1], rowNames[3], rowNames[4]}, slices.Sorted(slices.Values(rowNames)))
	require.NotEqual(t, memberRowName(member{Name: "a", Weight: 1}), memberRowName(member{Name: "b", Weight: 1}))
}

// applyPartialSample applies a sample of a cluster that has more nodes than the sample. It fills
// the given candidates up to candidateCount.
func (n *testNode) applyPartialSample(t *testing.T, candidates ...member) {
	for i := len(candidates); i < candidateCount; i++ {
		candidates = append(candidates, member{Name: fmt.Sprintf("candidate-%02d", i), Weight: 1})
	}
	var listing, successors rows.Listing
	for _, m := range candidates {
		listing.Rows = append(listing.Rows, rows.Row{Value: pool.Encode(m)})
	}
	successors.Rows = []rows.Row{{Value: pool.Encode(n.self())}}
	n.applySample(listing, successors)
	require.True(t, n.memberSample.partial)
}

// TestNodesBeyondTheCandidatesTakePoolsLast: nodes that are not candidates try after the
// candidates. Among them, nodes with less weight than a candidate try last.
func TestNodesBeyondTheCandidatesTakePoolsLast(t *testing.T) {
	latest := maxTakeoverRank * takeoverRankDelay
	candidate := newTestNode(t, 1, nil)
	candidate.applyPartialSample(t, candidate.self())
	require.Less(t, candidate.takeoverDelay(poolName), latest+time.Millisecond)
	equalWeight := newTestNode(t, 1, nil)
	equalWeight.applyPartialSample(t)
	require.False(t, equalWeight.isStandby(poolName))
	require.GreaterOrEqual(t, equalWeight.takeoverDelay(poolName), latest)
	require.Less(t, equalWeight.takeoverDelay(poolName), latest+lowWeightDelay)
	lowerWeight := newTestNode(t, 0.2, nil)
	lowerWeight.applyPartialSample(t)
	require.GreaterOrEqual(t, lowerWeight.takeoverDelay(poolName), latest+lowWeightDelay)
}

// TestLeaseIsReadWhenTheOwnerIsAnother: a node that does not follow the leases must read a pool's
// lease when the pinged node replies that it does not own the pool.
func TestLeaseIsReadWhenTheOwnerIsAnother(t *testing.T) {
	store := &countingStore{fakeStore: newFakeStore()}
	n := runningNode(t, store, peer.NewClient(nil))
	lease := func(owner string) {
		_, err := store.Commit(context.Background(), rows.Transaction{Puts: []rows.Put{{Key: pool.LeaseKey(poolName), Value: pool.Encode(pool.Lease{Owner: owner, Address: "127.0.0.1:9"})}}})
		require.NoError(t, err)
	}
	lease("node-2")
	read := make(chan struct{})
	onLoop(t, n, func() {
		n.memberSample.partial = true
		n.watchers[poolName] = &poolWatcher{pool: poolName}
		n.readLease(poolName, func(int64) { close(read) })
	})
	<-read
	lease("node-3")
	onLoop(t, n, func() {
		require.False(t, n.shouldFollowLeases())
		n.handlePingReply(n.watchers[poolName], pingReply{Owner: false})
	})
	require.Eventually(t, func() bool { return n.snapshot.Load().leases[poolName].Owner == "node-3" }, time.Minute, time.Millisecond)
}

// TestRowsOfExpiredMembersAreRemoved: an owner that receives no pings at all may be partitioned,
// and must not remove the rows of live nodes.
func TestRowsOfExpiredMembersAreRemoved(t *testing.T) {
	began := time.Now()
	cases := map[string]struct {
		// pings are the times, in seconds, at which each node pings the owner.
		pings   map[string][]float64
		at      float64
		expired []string
	}{
		"no pings":                          {nil, 60, nil},
		"pinged for less than memberExpiry": {map[string][]float64{"a": everyHalfSecond(0, 20)}, 14, nil},
		"one node stopped":                  {map[string][]float64{"a": everyHalfSecond(0, 20), "b": {0, 1}}, 20, []string{"b", "c"}},
		"owner partitioned":                 {map[string][]float64{"a": everyHalfSecond(0, 20)}, 30, nil},
		"pings resumed after a gap":         {map[string][]float64{"a": append(everyHalfSecond(0, 20), everyHalfSecond(30, 40)...)}, 40, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var h pingHistory
			for second := 0.0; second <= c.at; second += 0.5 {
				for name, times := range c.pings {
					if slices.Contains(times, second) {
						h.record(name, began.Add(time.Duration(second*float64(time.Second))))
					}
				}
			}
			var expired []string
			for _, name := range []string{"a", "b", "c"} {
				if h.expired(name, began.Add(time.Duration(c.at*float64(time.Second)))) {
					expired = append(expired, name)
				}
			}
			require.Equal(t, c.expired, expired)
		})
	}
}

// everyHalfSecond lists times half a second apart.
func everyHalfSecond(from, until float64) []float64 {
	var times []float64
	for at := from; at <= until; at += 0.5 {
		times = append(times, at)
	}
	return times
}

// TestRewrittenRowsAreKept: an owner must not remove a row that the node has written again since
// the owner read it.
func TestRewrittenRowsAreKept(t *testing.T) {
	store := &countingStore{fakeStore: newFakeStore()}
	n := runningNode(t, store, peer.NewClient(nil))
	store.writeMember(member{Name: "gone", Weight: 1})
	store.writeMember(member{Name: "back", Weight: 1})
	listing, err := store.Page(context.Background(), memberTable, "", "", prunePageSize)
	require.NoError(t, err)
	for _, row := range listing.Rows {
		var m member
		require.NoError(t, json.Unmarshal(row.Value, &m))
		if m.Name == "back" {
			store.writeMember(member{Name: "back", Incarnation: "second", Weight: 1})
		}
		onLoop(t, n, func() {
			n.pingHistory = pingHistory{lastPings: map[string]time.Time{}, since: n.now().Add(-time.Hour), latest: n.now()}
			n.removeExpired([]rows.Row{row})
		})
	}
	remainingNames := func() []string {
		listing, _ := store.Page(context.Background(), memberTable, "", "", prunePageSize)
		var names []string
		for _, row := range listing.Rows {
			var m member
			require.NoError(t, json.Unmarshal(row.Value, &m))
			names = append(names, m.Name)
		}
		return names
	}
	require.Eventually(t, func() bool { return slices.Equal(remainingNames(), []string{"back"}) }, time.Minute, time.Millisecond)
}

// TestNodeWhoseRowIsMissingWritesItAgain: an owner that was partitioned from a live node may have
// removed the node's row.
func TestNodeWhoseRowIsMissingWritesItAgain(t *testing.T) {
	store := &countingStore{fakeStore: newFakeStore()}
	n := runningNode(t, store, peer.NewClient(nil))
	onLoop(t, n, n.readMembers)
	require.Eventually(t, func() bool {
		listing, err := store.Page(context.Background(), memberTable, "", memberRowName(n.self()), 1)
		return err == nil && len(listing.Rows) == 1
	}, time.Minute, time.Millisecond)
}

// TestStoreRelayIncludesOwners: a node must relay store calls through a pool's owner even if the
// sample lists no live node.
func TestStoreRelayIncludesOwners(t *testing.T) {
	n := newTestNode(t, 1, nil)
	n.applyLeaseOf("node-7", 3)
	require.Equal(t, []string{"node-7"}, n.store.relayAddresses())
}

// TestLightNodeTakesAPoolOnceAllCandidatesAreGone: a node that does not follow the leases scans a
// lease before it acquires the pool. An unchanged lease must not reset the owner's failures.
func TestLightNodeTakesAPoolOnceAllCandidatesAreGone(t *testing.T) {
	store := &countingStore{fakeStore: newFakeStore()}
	lease := pool.Lease{Owner: "candidate-00", Address: "127.0.0.1:9", Weight: 1}
	_, err := store.Commit(context.Background(), rows.Transaction{Puts: []rows.Put{{Key: pool.LeaseKey(poolName), Value: pool.Encode(lease)}}})
	require.NoError(t, err)
	for i := range 2 * candidateCount {
		store.writeMember(member{Name: fmt.Sprintf("candidate-%02d", i), Address: "127.0.0.1:9", Weight: 1})
	}
	n := runningNode(t, store, peer.NewClient(nil))
	onLoop(t, n, func() {
		n.applyDocument(pool.Encode(catalog.Catalog{Version: 1, Pools: []catalog.Pool{{Name: poolName}}}), "test")
		n.readMembers()
		n.pingOwners()
	})
	require.Eventually(t, func() bool { return n.snapshot.Load().leases[poolName].Owner == "node-1" }, time.Minute, 5*time.Millisecond)
}

// TestNodesOfASmallFleetLearnOfEachOtherAtOnce: in a small cluster the first node must learn of
// later nodes before it reads its member sample again.
func TestNodesOfASmallFleetLearnOfEachOtherAtOnce(t *testing.T) {
	row := func(name string, deleted bool) rows.Row {
		return rows.Row{Key: rows.Key{Table: pool.NodeTable, Name: name}, Value: pool.Encode(member{Name: name, Weight: 1}), Gone: deleted}
	}
	n := newTestNode(t, 1, nil)
	n.applyLeaseTableRow(row("node-2", false))
	n.applyLeaseTableRow(row("node-3", false))
	n.applyLeaseTableRow(row("node-3", true))
	others := n.otherMembersExcept("")
	require.Len(t, others, 1)
	require.Equal(t, "node-2", others[0].Name)

	n.memberSample.partial = true
	n.applyLeaseTableRow(row("node-4", false))
	require.Len(t, n.otherMembersExcept(""), 1, "nodes of a large cluster must not be added from the lease table")
}

// truncatedHistoryStore has no change history before the version horizon.
type truncatedHistoryStore struct {
	countingStore
	horizon int64
	feeds   int
}

func (s *truncatedHistoryStore) Feed(ctx context.Context, table string, after int64, wait time.Duration) (rows.Listing, error) {
	s.mutex.Lock()
	s.feeds++
	truncated := after < s.horizon
	s.mutex.Unlock()
	if truncated {
		return rows.Listing{}, rows.ErrHistoryExpired
	}
	return s.countingStore.Feed(ctx, table, after, wait)
}

// TestLeasesAreFollowedAgainOnceTheHistoryIsGone: after an expired history the node must read the
// leases in full and follow them from the version of that read.
func TestLeasesAreFollowedAgainOnceTheHistoryIsGone(t *testing.T) {
	store := &truncatedHistoryStore{countingStore: countingStore{fakeStore: newFakeStore()}}
	store.writeMember(member{Name: "node-2", Weight: 1})
	lease := func(owner string) {
		_, err := store.Commit(context.Background(), rows.Transaction{Puts: []rows.Put{{Key: pool.LeaseKey(poolName), Value: pool.Encode(pool.Lease{Owner: owner, Address: "127.0.0.1:9"})}}})
		require.NoError(t, err)
	}
	lease("node-2")
	store.horizon = store.version
	n := runningNode(t, store, peer.NewClient(nil))
	onLoop(t, n, func() {
		n.memberSample.version, n.memberSample.readAt = 1, n.now()
		n.watchers[poolName] = &poolWatcher{pool: poolName}
		n.followLeases()
	})
	require.Eventually(t, func() bool { return n.snapshot.Load().leases[poolName].Owner == "node-2" }, time.Minute, time.Millisecond)
	lease("node-3")
	require.Eventually(t, func() bool { return n.snapshot.Load().leases[poolName].Owner == "node-3" }, time.Minute, time.Millisecond)
	store.mutex.Lock()
	defer store.mutex.Unlock()
	require.Less(t, store.feeds, 20)
}
