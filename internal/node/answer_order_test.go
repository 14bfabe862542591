package node

import (
	"testing"

	"github.com/stretchr/testify/require"
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
