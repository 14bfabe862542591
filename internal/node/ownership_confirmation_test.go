package node

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/catalog"
	"github.com/wheatroad/wheatroad/internal/peer"
	"github.com/wheatroad/wheatroad/internal/peer/peerpb"
	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/rows"
)

// owningNode returns a node that owns the watched pool with fencing token 5.
func owningNode(t *testing.T, others map[string]float64) *testNode {
	n := newTestNode(t, 1, others)
	n.owned[poolName] = pool.New(n.poolOptions(poolName), n.loop, n.ports, discardRecorder{}, 5)
	return n
}

// sinceConfirmed returns how long ago the node's ownership of the pool was last confirmed.
func (n *testNode) sinceConfirmed() time.Duration {
	return time.Duration(n.owned[poolName].Summary().SinceOwnershipConfirmedMillis) * time.Millisecond
}

// TestPingsConfirmOrDeposeOwner: the token in a ping confirms the owner, or makes the owner abandon
// the pool.
func TestPingsConfirmOrDeposeOwner(t *testing.T) {
	cases := map[string]struct {
		request   pingRequest
		owner     bool
		confirmed bool
	}{
		"peer knows a newer owner":     {pingRequest{Pool: poolName, Token: 6}, false, false},
		"store lost to both":           {pingRequest{Pool: poolName, Token: 5, StoreLost: true}, true, true},
		"store reachable for the peer": {pingRequest{Pool: poolName, Token: 5}, true, false},
		"peer knows an older owner":    {pingRequest{Pool: poolName, Token: 4, StoreLost: true}, true, false},
		"peer of an earlier version":   {pingRequest{Pool: poolName}, true, false},
		"another pool":                 {pingRequest{Pool: "other", Token: 9}, false, false},
	}
	for name, c := range cases {
		n := owningNode(t, nil)
		var reply pingReply
		var err error
		n.loop.wait(func() { reply, err = n.servePing(context.Background(), c.request) })
		require.NoError(t, err, name)
		require.Equal(t, c.owner, reply.Owner, name)
		if c.request.Token == 6 {
			require.Nil(t, n.owned[poolName], name)
			continue
		}
		require.Equal(t, c.confirmed, n.sinceConfirmed() < time.Second, name)
	}
}

// TestOnlyNodeConfirmsItselfWhileStoreIsLost: an owner may confirm itself without the store only if
// no other node could acquire the pool.
func TestOnlyNodeConfirmsItselfWhileStoreIsLost(t *testing.T) {
	onlyNode := owningNode(t, nil)
	onlyNode.confirmIfOnlyNode()
	require.Greater(t, onlyNode.sinceConfirmed(), time.Second, "the store is reachable")
	onlyNode.recordStoreFailure(rows.ErrOutcomeUnknown)
	onlyNode.confirmIfOnlyNode()
	require.Less(t, onlyNode.sinceConfirmed(), time.Second)
	oneOfTwo := owningNode(t, map[string]float64{"node-2": 1})
	oneOfTwo.recordStoreFailure(rows.ErrOutcomeUnknown)
	oneOfTwo.confirmIfOnlyNode()
	require.Greater(t, oneOfTwo.sinceConfirmed(), time.Second)
}

// TestPingConfirmsOwnerAsOfItsEarlierReply: a ping that waited while the owner's process was stopped
// must not confirm the ownership at the time at which it is read.
func TestPingConfirmsOwnerAsOfItsEarlierReply(t *testing.T) {
	const stopped = 20 * time.Second
	n := owningNode(t, nil)
	ping := func(held int64) (reply pingReply) {
		request := pingRequest{Pool: poolName, Token: 5, StoreLost: true, HeldMillis: &held}
		n.loop.wait(func() { reply, _ = n.servePing(context.Background(), request) })
		return reply
	}
	first := ping(0)
	n.loop.skip(stopped)
	second := ping(first.HeldMillis)
	require.GreaterOrEqual(t, n.sinceConfirmed(), stopped)
	n.loop.skip(standbyPingPeriod)
	ping(second.HeldMillis)
	require.Equal(t, standbyPingPeriod, n.sinceConfirmed())
	ping(time.Hour.Milliseconds())
	require.Zero(t, n.sinceConfirmed(), "a time to come counts as now")
}

// TestPingRepeatsTimeOfOwnersReply: a ping shows the owner which of its replies came before.
func TestPingRepeatsTimeOfOwnersReply(t *testing.T) {
	const held = 700
	requests := make(chan pingRequest, 3)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	serve := func(_ context.Context, request *peerpb.Request) ([]byte, error) {
		var ping pingRequest
		if err := json.Unmarshal(request.GetPoolCall().Document, &ping); err != nil {
			return nil, err
		}
		requests <- ping
		return json.Marshal(pingReply{Owner: true, HeldMillis: held})
	}
	go func() { _ = peer.NewServer(serve).Serve(listener) }()
	n := newTestNode(t, 1, nil)
	n.dependencies.Peers = peer.NewClient(nil)
	n.catalog.Store(&catalog.Catalog{})
	for version, want := range map[int64][]int64{5: {0, held}, 6: {0}} {
		n.leases[poolName] = versionedLease{Lease: pool.Lease{Owner: "node-2", Address: listener.Addr().String()}, version: version}
		n.handleLeaseChange(poolName)
		for _, held := range want {
			n.pingOwner(n.watcher)
			n.loop.awaitPost(t)
			n.loop.runPosted()
			require.Equal(t, held, *(<-requests).HeldMillis)
		}
	}
}
