package node

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/rows"
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
