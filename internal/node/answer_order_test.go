package node

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/rows"
	"github.com/wheatroad/wheatroad/internal/uptime"
)

// Regression tests: answers that are read after a newer fact.

// TestAcquisitionOlderThanKnownLeaseOwnsNothing: another node acquires the pool before the answer to
// this node's acquisition is read.
func TestAcquisitionOlderThanKnownLeaseOwnsNothing(t *testing.T) {
	n := newTestNode(t, 1, nil)
	n.dependencies.Codec = jsonCodec{}
	n.acquire(n.watcher, "test")
	n.loop.awaitPost(t)
	n.applyLeaseOf("node-2", 9)
	n.loop.runPosted()
	require.Nil(t, n.owned[poolName])
	require.Equal(t, "node-2", n.leases[poolName].Owner)
}

// TestConflictOlderThanKnownLeaseIsIgnored: the answer to a refused acquisition holds a lease that
// another node has replaced since.
func TestConflictOlderThanKnownLeaseIsIgnored(t *testing.T) {
	n := newTestNode(t, 1, nil)
	n.applyLeaseOf("node-2", 9)
	earlier := rows.Row{Key: pool.LeaseKey(poolName), Value: pool.Encode(pool.Lease{Owner: "node-1"}), Version: 5}
	n.handleAcquireConflict(n.watcher, rows.Result{Current: []rows.Row{earlier}}, "nonce")
	require.Equal(t, "node-2", n.leases[poolName].Owner)
	require.False(t, n.watcher.acquiring)
}

// TestReplyOfEarlierOwnerDoesNotCountAgainstNextOwner: an owner replies that it lost the store, and
// another node acquires the pool before this node's probe of the store is answered.
func TestReplyOfEarlierOwnerDoesNotCountAgainstNextOwner(t *testing.T) {
	n := newTestNode(t, 1, nil)
	n.applyLeaseOf("node-2", 5)
	n.requireProbes()
	n.handlePingReply(n.watcher, pingReply{Owner: true, StoreAgeMillis: 2300})
	n.loop.awaitPost(t)
	n.applyLeaseOf("node-3", 6)
	n.loop.runPosted()
	require.Zero(t, n.watcher.failures)
	require.False(t, n.watcher.acquireScheduled)
}

// TestLaterHealthyReplyClearsReplyOfLostStore: the owner reaches the store again before this node's
// probe of the store is answered.
func TestLaterHealthyReplyClearsReplyOfLostStore(t *testing.T) {
	n := newTestNode(t, 1, nil)
	n.applyLeaseOf("node-2", 5)
	n.requireProbes()
	n.handlePingReply(n.watcher, pingReply{Owner: true, StoreAgeMillis: 2300})
	n.loop.awaitPost(t)
	n.loop.skip(standbyPingPeriod)
	n.handlePingReply(n.watcher, pingReply{Owner: true})
	n.loop.runPosted()
	require.Zero(t, n.watcher.failures)
	require.False(t, n.watcher.acquireScheduled)
}

// requireProbes makes the store's last response so old that the node probes the store.
func (n *testNode) requireProbes() {
	respondedAt := uptime.Now().Add(-2 * storeFreshAge)
	n.storeRespondedAt.Store(&respondedAt)
}

// memberRow returns a member row of a node in the lease table.
func memberRow(name string, version int64) rows.Row {
	return rows.Row{Key: rows.Key{Table: pool.NodeTable, Name: name}, Value: pool.Encode(member{Name: name, Weight: 1}), Version: version}
}

// TestSampleOlderThanMemberChangesKeepsThem: the feed delivers changes of member rows while an older
// sample is on its way.
func TestSampleOlderThanMemberChangesKeepsThem(t *testing.T) {
	n := newTestNode(t, 1, nil)
	gone := memberRow("node-2", 9)
	gone.Gone, gone.Value = true, nil
	n.applyLeaseTableRow(memberRow("node-3", 8))
	n.applyLeaseTableRow(gone)
	n.applySample(rows.Listing{Version: 7, Rows: []rows.Row{memberRow("node-1", 1), memberRow("node-2", 2)}})
	require.Equal(t, []string{"node-1", "node-3"}, sortedKeys(n.memberSample.members))
	n.applySample(rows.Listing{Version: 12, Rows: []rows.Row{memberRow("node-1", 1), memberRow("node-2", 11)}})
	require.Equal(t, []string{"node-1", "node-2"}, sortedKeys(n.memberSample.members), "a newer sample replaces the changes")
}
