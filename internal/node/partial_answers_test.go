package node

import (
	"bytes"
	"context"
	"io"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/catalog"
	"github.com/wheatroad/wheatroad/internal/loop"
	"github.com/wheatroad/wheatroad/internal/peer"
	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/progress"
	"github.com/wheatroad/wheatroad/internal/rows"
)

// partialResponseStore sends the first byte of each response about one table at once. It sends the
// rest when the test closes complete or sends to it. Calls about other tables get no response.
type partialResponseStore struct {
	rows.Store
	table    string
	listing  rows.Listing
	started  chan struct{}
	complete chan struct{}
}

func newPartialResponseStore(table string, listing rows.Listing) *partialResponseStore {
	return &partialResponseStore{table: table, listing: listing, started: make(chan struct{}, 16), complete: make(chan struct{})}
}

func (s *partialResponseStore) respond(ctx context.Context, table string) (rows.Listing, error) {
	if table != s.table {
		<-ctx.Done()
		return rows.Listing{}, errors.Mark(context.Cause(ctx), rows.ErrOutcomeUnknown)
	}
	receiveBytes(ctx, 1)
	s.started <- struct{}{}
	select {
	case <-s.complete:
		return s.listing, nil
	case <-ctx.Done():
		return rows.Listing{}, errors.Mark(context.Cause(ctx), rows.ErrOutcomeUnknown)
	}
}

func (s *partialResponseStore) Scan(ctx context.Context, table, _, _ string) (rows.Listing, error) {
	return s.respond(ctx, table)
}

func (s *partialResponseStore) Partitions(ctx context.Context, table string) ([]string, error) {
	_, err := s.respond(ctx, table)
	return nil, err
}

func (s *partialResponseStore) Feed(ctx context.Context, table string, _ int64, _ time.Duration) (rows.Listing, error) {
	return s.respond(ctx, table)
}

// receiveBytes simulates the arrival of some bytes of a response.
func receiveBytes(ctx context.Context, count int) {
	_, _ = io.Copy(io.Discard, progress.NewReader(ctx, bytes.NewReader(make([]byte, count))))
}

// runningNode returns a node whose event loop runs.
func runningNode(t *testing.T, store rows.Store, peers *peer.Client) *Node {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	eventLoop := loop.NewGoroutine()
	n := New(ctx, Options{Name: "node-1", MaxConfigurationAge: time.Hour}, Dependencies{
		Store: store, Peers: peers, Codec: jsonCodec{}, Loop: eventLoop, Recorder: discardRecorder{},
	})
	go eventLoop.Run(ctx)
	return n
}

// onLoop runs fn on a node's event loop and waits until fn returns.
func onLoop(t *testing.T, n *Node, fn func()) {
	require.NoError(t, loop.Call(context.Background(), n.dependencies.Loop, fn))
}

// TestReceivingFeedIsNotCanceled: canceling idle feeds must not cancel a feed that has begun to
// receive its response.
func TestReceivingFeedIsNotCanceled(t *testing.T) {
	store := newPartialResponseStore("t", rows.Listing{Version: 7})
	n := newGateway(t, store).node
	ended := make(chan error, 1)
	go func() {
		_, err := n.store.Feed(context.Background(), "t", 1, time.Hour)
		ended <- err
	}()
	<-store.started
	n.feeds.cancelIdle(0)
	close(store.complete)
	require.NoError(t, <-ended)
}

// TestReceivedBytesKeepStoreFromBeingLost: small calls that time out behind a large response must
// not make the node lose the store.
func TestReceivedBytesKeepStoreFromBeingLost(t *testing.T) {
	store := newPartialResponseStore("t", rows.Listing{Version: 7})
	n := newGateway(t, store).node
	require.Equal(t, unknownAge, n.storeAge())
	go func() { _, _ = n.store.Feed(context.Background(), "t", 1, time.Hour) }()
	<-store.started
	require.Less(t, n.storeAge(), time.Minute)

	_, err := n.store.Feed(expiringContext(t), "other", 1, time.Hour)
	require.True(t, errors.Is(err, rows.ErrOutcomeUnknown), "%v", err)
	require.False(t, n.storeLost(), "one feed timed out while another was receiving its answer")

	lost := make(chan bool)
	go func() { lost <- n.confirmStoreLost() }()
	require.Eventually(t, func() bool { return n.currentProbe.Load() != nil }, time.Minute, time.Millisecond)
	n.recordStoreResult(nil)
	require.False(t, <-lost, "the probe timed out while an answer was arriving")
}

// expiringContext returns a context whose deadline passes almost at once.
func expiringContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	t.Cleanup(cancel)
	return ctx
}

// TestListingIsDatedByItsFirstByte: the age of a configuration must include the time that the
// response takes to arrive. Otherwise a node may accept a revoked key.
func TestListingIsDatedByItsFirstByte(t *testing.T) {
	store := newPartialResponseStore("operator", rows.Listing{Version: 7})
	n := runningNode(t, store, peer.NewClient(nil))
	n.dependencies.Loop.Post(n.readConfiguration)
	<-store.started
	begun := time.Now()
	time.Sleep(50 * time.Millisecond)
	store.complete <- struct{}{}
	require.Eventually(t, func() bool { return n.confirmedAt.Load() != nil }, time.Minute, time.Millisecond)
	require.False(t, n.confirmedAt.Load().After(begun), "confirmed as of %v after the first byte", n.confirmedAt.Load().Sub(begun))
}

// slowResponseStore sends its responses slowly but without stalling.
type slowResponseStore struct{ rows.Store }

func (s slowResponseStore) Scan(ctx context.Context, _, _, _ string) (rows.Listing, error) {
	return s.respond(ctx, storeTimeout+200*time.Millisecond)
}

func (s slowResponseStore) Partitions(ctx context.Context, _ string) ([]string, error) {
	_, err := s.Scan(ctx, "", "", "")
	return nil, err
}

func (s slowResponseStore) Feed(ctx context.Context, _ string, _ int64, wait time.Duration) (rows.Listing, error) {
	return s.respond(ctx, wait+feedGrace+200*time.Millisecond)
}

func (slowResponseStore) respond(ctx context.Context, takes time.Duration) (rows.Listing, error) {
	for startedAt := time.Now(); time.Since(startedAt) < takes; {
		receiveBytes(ctx, 8<<10)
		time.Sleep(10 * time.Millisecond)
		if ctx.Err() != nil {
			return rows.Listing{}, errors.Mark(context.Cause(ctx), rows.ErrOutcomeUnknown)
		}
	}
	return rows.Listing{Version: 7}, nil
}

func TestSlowResponsesAreWaitedFor(t *testing.T) {
	n := runningNode(t, slowResponseStore{}, peer.NewClient(nil))
	calls := map[string]func(done func(rows.Listing, error)){
		"scan":                      func(done func(rows.Listing, error)) { n.ports.Scan(pool.JobTable, "part", "", done) },
		"feed":                      func(done func(rows.Listing, error)) { n.ports.feedFor(pool.JobTable, 1, 0, done) },
		"scan of the configuration": func(done func(rows.Listing, error)) { n.ports.scanDirect("operator", "", done) },
		"feed of the configuration": func(done func(rows.Listing, error)) { n.ports.feedDirect("operator", 1, 0, done) },
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			results := make(chan error, 1)
			call(func(_ rows.Listing, err error) { results <- err })
			require.NoError(t, <-results)
		})
	}
}

// slowCommitStore commits each transaction after a delay.
type slowCommitStore struct {
	rows.Store
	takes time.Duration
}

func (s slowCommitStore) Commit(ctx context.Context, _ rows.Transaction) (rows.Result, error) {
	select {
	case <-time.After(s.takes):
		return rows.Result{Committed: true}, nil
	case <-ctx.Done():
		return rows.Result{}, errors.Mark(context.Cause(ctx), rows.ErrOutcomeUnknown)
	}
}

func (slowCommitStore) Partitions(context.Context, string) ([]string, error) { return nil, nil }

// Scan responds to probes.
func (slowCommitStore) Scan(context.Context, string, string, string) (rows.Listing, error) {
	return rows.Listing{}, nil
}

// TestLargeTransactionHasTheTimeItTakesToSend: the timeout of a direct or relayed transaction must
// include the time that the transaction takes to send.
func TestLargeTransactionHasTheTimeItTakesToSend(t *testing.T) {
	large := rows.Transaction{Puts: []rows.Put{{Value: make([]byte, 200<<10)}}}
	require.Greater(t, rows.SendTime(large), time.Second)
	cases := map[string]struct {
		ownStore, peersStore rows.Store
	}{
		"directly":             {slowCommitStore{takes: storeTimeout + 500*time.Millisecond}, refusingStore{}},
		"through another node": {refusingStore{}, slowCommitStore{takes: relayTimeout + 500*time.Millisecond}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			n := runningNode(t, c.ownStore, peer.NewClient(nil))
			address := servePeers(t, newGateway(t, c.peersStore).node)
			n.snapshot.Store(&snapshot{members: []member{{Name: "node-2", Address: address}}})
			results := make(chan error, 1)
			n.ports.Commit(large, func(_ rows.Result, err error) { results <- err })
			require.NoError(t, <-results)
		})
	}
}

// TestLargeRelayedResponseIsWaitedFor: the timeout for the first byte must not end a response that
// takes longer to arrive over a slow link.
func TestLargeRelayedResponseIsWaitedFor(t *testing.T) {
	listing := rows.Listing{Version: 7, Rows: []rows.Row{{Key: rows.Key{Name: "large"}, Value: make([]byte, largeConfigurationBytes/2)}}}
	slowLink := &throttledLink{bytesPerSecond: slowLinkBytesPerSecond}
	n := runningNode(t, refusingStore{}, peer.NewClient(slowLink.dial))
	address := servePeers(t, newGateway(t, &fixedStore{listing: listing}).node)
	n.snapshot.Store(&snapshot{members: []member{{Name: "node-2", Address: address}}})
	n.recordStoreFailure(rows.ErrNoEffect)
	result, err := n.store.Feed(context.Background(), pool.JobTable, 1, time.Millisecond)
	require.NoError(t, err)
	require.Equal(t, int64(7), result.Version)
}

// TestScanThroughAnotherNodeIsWaitedFor: a relayed scan must succeed although the relaying node
// reads slowly from the store, or the link to the relaying node is slow.
func TestScanThroughAnotherNodeIsWaitedFor(t *testing.T) {
	listing := rows.Listing{Version: 7, Rows: []rows.Row{{Key: rows.Key{Name: "large"}, Value: make([]byte, largeConfigurationBytes/2)}}}
	for name, others := range map[string]rows.Store{"slow store": slowResponseStore{}, "slow link": &fixedStore{listing: listing}} {
		t.Run(name, func(t *testing.T) {
			slowLink := &throttledLink{bytesPerSecond: slowLinkBytesPerSecond}
			n := runningNode(t, refusingStore{}, peer.NewClient(slowLink.dial))
			address := servePeers(t, newGateway(t, others).node)
			n.snapshot.Store(&snapshot{members: []member{{Name: "node-2", Address: address}}})
			result, err := n.store.Scan(context.Background(), pool.JobTable, "part", "")
			require.NoError(t, err)
			require.Equal(t, int64(7), result.Version)
		})
	}
}

// TestScanThroughUnresponsiveNodeEndsWhenStoreRecovers: once the store responds to this node, a
// relayed read must not wait for its relay timeout.
func TestScanThroughUnresponsiveNodeEndsWhenStoreRecovers(t *testing.T) {
	n := runningNode(t, newFakeStore(), peer.NewClient(nil))
	address := servePeers(t, newGateway(t, hangingStore{}).node)
	n.snapshot.Store(&snapshot{members: []member{{Name: "node-2", Address: address}}})
	n.recordStoreFailure(rows.ErrNoEffect)
	ended := make(chan error, 1)
	began := time.Now()
	n.ports.Scan(pool.JobTable, "part", "", func(_ rows.Listing, err error) { ended <- err })
	require.Eventually(t, func() bool {
		n.store.relayedReads.mutex.Lock()
		defer n.store.relayedReads.mutex.Unlock()
		return len(n.store.relayedReads.pending) == 1
	}, time.Minute, time.Millisecond)
	n.recordStoreResult(nil)
	require.Error(t, <-ended)
	require.Less(t, time.Since(began), relayScanTimeout)
}

// fixedStore returns the same listing for each read.
type fixedStore struct {
	rows.Store
	listing rows.Listing
}

func (s *fixedStore) Scan(context.Context, string, string, string) (rows.Listing, error) {
	return s.listing, nil
}

func (s *fixedStore) Partitions(context.Context, string) ([]string, error) { return nil, nil }

func (s *fixedStore) Feed(context.Context, string, int64, time.Duration) (rows.Listing, error) {
	return s.listing, nil
}

// TestOtherNodesAreQueriedWhenStoreIsSlow: while the store sends a configuration, a node must not
// download it from another node as well, until storeTransferGrace has passed.
func TestOtherNodesAreQueriedWhenStoreIsSlow(t *testing.T) {
	source := newGateway(t, refusingStore{}).node
	source.dependencies.Codec = jsonCodec{}
	source.applyDocument(largeDocument(t, 2), "feed")
	address := servePeers(t, source)
	n := runningNode(t, refusingStore{}, peer.NewClient(nil))
	ago := func(d time.Duration) *time.Time {
		at := time.Now().Add(-d)
		return &at
	}

	n.configurationTransferStart.Store(ago(0))
	onLoop(t, n, func() {
		n.handleConfigurationStatus(address, configurationStatus{Version: 2}, time.Now())
		assert.False(t, n.download.active)
	})
	n.configurationTransferStart.Store(ago(storeTransferGrace))
	onLoop(t, n, func() {
		n.handleConfigurationStatus(address, configurationStatus{Version: 2}, time.Now())
		assert.True(t, n.download.active)
	})
	requireVersion(t, n, 2)
}

// requireVersion waits until a configuration version is current.
func requireVersion(t *testing.T, n *Node, version int64) {
	require.Eventually(t, func() bool {
		current := n.catalog.Load()
		return current != nil && current.Version == version
	}, transferTimeout, time.Millisecond)
}

func TestTransferIsTrackedUntilItsEnd(t *testing.T) {
	n := newGateway(t, newFakeStore()).node
	ctx, ended := n.trackStoreTransfer(context.Background())
	require.False(t, n.storeTransferPending())
	receiveBytes(ctx, 1)
	require.True(t, n.storeTransferPending())
	ended()
	require.False(t, n.storeTransferPending())
}

// TestDownloadResumesAfterFailure: after a failed call a node must keep the received content and
// get the rest from another node. Only one download may run at a time.
func TestDownloadResumesAfterFailure(t *testing.T) {
	n := runningNode(t, refusingStore{}, peer.NewClient(nil))
	content := largeDocument(t, 2)
	first := chunkReply{Version: 2, Size: len(content), Content: content[:maxChunkBytes]}
	onLoop(t, n, func() {
		n.download = download{document: document{version: 2}, active: true}
		n.handleChunk(unreachable(t), chunkRequest{Version: 2}, first)
		assert.Len(t, n.download.content, maxChunkBytes)
		n.downloadConfiguration(unreachable(t), 3)
		assert.Equal(t, int64(2), n.download.version, "a second transfer must not start")
	})
	require.Eventually(t, func() bool {
		active := true
		onLoop(t, n, func() { active = n.download.active })
		return !active
	}, transferTimeout, time.Millisecond, "the transfer must end when a call fails")

	source := newGateway(t, refusingStore{}).node
	source.dependencies.Codec = jsonCodec{}
	source.applyDocument(content, "feed")
	address := servePeers(t, source)
	onLoop(t, n, func() {
		n.downloadConfiguration(address, 2)
		assert.Len(t, n.download.content, maxChunkBytes, "the received chunk must be kept")
	})
	requireVersion(t, n, 2)
}

// unreachable returns an address without a listener.
func unreachable(t *testing.T) string {
	listener, err := (&throttledLink{}).listen()
	require.NoError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// TestChangesInQuickSuccessionDoNotStopATransfer: a node must retain a replaced version while
// another node downloads that version.
func TestChangesInQuickSuccessionDoNotStopATransfer(t *testing.T) {
	source := newGateway(t, refusingStore{}).node
	source.dependencies.Codec = jsonCodec{}
	var first, fetched []byte
	for version := int64(2); len(fetched) == 0 || len(fetched) < len(first); version++ {
		content := largeDocument(t, version)
		source.applyDocument(content, "feed")
		if first == nil {
			first = content
		}
		reply, err := source.serveChunk(chunkRequest{Version: 2, Offset: len(fetched)})
		require.NoError(t, err)
		require.Equal(t, int64(2), reply.Version)
		fetched = append(fetched, reply.Content...)
	}
	require.Equal(t, first, fetched)
}

func TestServedDocuments(t *testing.T) {
	newest := &document{version: 9}
	var served servedDocuments
	require.Nil(t, served.find(1, nil))
	require.Equal(t, newest, served.find(4, newest), "an unknown version gets the newest document")
	require.Equal(t, newest, served.find(5, newest))
	require.Len(t, served.entries, 1)
	for version := range int64(2 * maxServedDocuments) {
		served.find(version+10, &document{version: version + 10})
		require.Equal(t, newest, served.find(9, &document{version: version + 10}), "a version in download must be retained")
	}
	require.Len(t, served.entries, maxServedDocuments)
	for i := range served.entries {
		served.entries[i].requestedAt = time.Now().Add(-servedRetention - time.Second)
	}
	served.find(9, newest)
	require.Len(t, served.entries, 1, "versions that are no longer requested must be evicted")
}

func TestChunkOutsideTheConfigurationIsRefused(t *testing.T) {
	source := newGateway(t, refusingStore{}).node
	_, err := source.serveChunk(chunkRequest{Version: 1})
	require.Error(t, err, "a node without a configuration must refuse chunks")
	source.dependencies.Codec = jsonCodec{}
	source.applyDocument(largeDocument(t, 2), "feed")
	for _, offset := range []int{-1, largeConfigurationBytes + 1} {
		_, err := source.serveChunk(chunkRequest{Version: 2, Offset: offset})
		require.Error(t, err, "offset %d", offset)
	}
}

func TestOlderVersionFromAnotherNodeIsNotTaken(t *testing.T) {
	n := runningNode(t, refusingStore{}, peer.NewClient(nil))
	n.catalog.Store(&catalog.Catalog{Version: 5})
	content := largeDocument(t, 4)
	onLoop(t, n, func() {
		n.download = download{document: document{version: 6}, active: true}
		n.handleChunk("", chunkRequest{Version: 6}, chunkReply{Version: 4, Size: len(content), Content: content})
		assert.Equal(t, download{}, n.download)
	})
	require.Equal(t, int64(5), n.catalog.Load().Version)
}
