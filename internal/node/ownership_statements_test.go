package node

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/fault"
	"github.com/wheatroad/wheatroad/internal/peer"
	"github.com/wheatroad/wheatroad/internal/peer/peerpb"
	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/rows"
)

// ping delivers a ping with the owner's token of a node that has lost the store too.
func (n *testNode) ping(from string, heldMillis *int64) {
	request := pingRequest{Pool: poolName, From: from, Token: 5, StoreLost: true, HeldMillis: heldMillis}
	n.loop.wait(func() { _, _ = n.servePing(context.Background(), request) })
}

// heldNow is the time for which the owner holds the pool, as a node knows it that has just got a reply.
func (n *testNode) heldNow() *int64 {
	held := n.now().Sub(n.owned[poolName].AcquiredAt()).Milliseconds()
	return &held
}

// TestOwnerIsConfirmedByAllPossibleSuccessors: without the store an owner goes on only as of the oldest
// statement of the nodes that could have replaced it.
func TestOwnerIsConfirmedByAllPossibleSuccessors(t *testing.T) {
	n := owningNode(t, map[string]float64{"node-2": 1, "node-3": 1})
	n.ping("node-2", n.heldNow())
	require.Greater(t, n.sinceConfirmed(), time.Second, "node-3 has stated nothing")
	n.loop.skip(2 * time.Second)
	n.ping("node-3", n.heldNow())
	require.Equal(t, 2*time.Second, n.sinceConfirmed(), "as of the statement of node-2")
	n.ping("node-2", n.heldNow())
	require.Zero(t, n.sinceConfirmed())
}

// TestPingWithoutHeldTimeStatesNothing: a ping of a version that does not send held_ms may have waited for
// any time.
func TestPingWithoutHeldTimeStatesNothing(t *testing.T) {
	n := owningNode(t, map[string]float64{"node-2": 1})
	n.ping("node-2", nil)
	require.Greater(t, n.sinceConfirmed(), time.Second)
	n = owningNode(t, nil)
	n.ping("node-2", nil)
	require.Greater(t, n.sinceConfirmed(), time.Second, "node-2 is known by its ping alone")
	n.ping("node-2", n.heldNow())
	require.Zero(t, n.sinceConfirmed())
}

// TestOwnerWithoutMemberSampleIsNotConfirmed: a node that has not read the members does not know that it is
// the only one.
func TestOwnerWithoutMemberSampleIsNotConfirmed(t *testing.T) {
	n := owningNode(t, nil)
	n.memberSample = memberSample{members: map[string]member{}}
	n.recordStoreFailure(rows.ErrOutcomeUnknown)
	n.confirmIfOnlyNode()
	n.ping("", n.heldNow())
	require.Greater(t, n.sinceConfirmed(), time.Second)
}

// fixedPeers answers all calls alike.
type fixedPeers struct {
	reply pingReply
	err   error
}

func (p fixedPeers) Call(context.Context, string, *peerpb.Request) ([]byte, error) {
	document, _ := json.Marshal(p.reply)
	return document, p.err
}

// TestOwnerWithoutStoreAsksOthers: the replies of the nodes that are asked, also of nodes of earlier
// versions, say whether the owner was replaced.
func TestOwnerWithoutStoreAsksOthers(t *testing.T) {
	for name, c := range map[string]struct {
		peers            fixedPeers
		owner, confirmed bool
	}{
		"does not own the pool":      {fixedPeers{reply: pingReply{StoreLost: true}}, true, true},
		"reaches the store":          {fixedPeers{reply: pingReply{StoreAgeMillis: 3}}, true, true},
		"names itself":               {fixedPeers{reply: pingReply{Name: "node-2", StoreLost: true}}, true, true},
		"is another node":            {fixedPeers{reply: pingReply{Name: "node-9", StoreLost: true}}, true, false},
		"owns the pool":              {fixedPeers{reply: pingReply{Owner: true}}, false, false},
		"its process has ended":      {fixedPeers{err: peer.RefusedError("node-2")}, true, true},
		"does not answer":            {fixedPeers{err: fault.New(fault.OutcomeUnknown, "silent")}, true, false},
		"cannot be connected to":     {fixedPeers{err: fault.New(fault.NoOwner, "cannot connect")}, true, false},
		"answers that it cannot":     {fixedPeers{err: fault.New(fault.InvalidRequest, "no")}, true, false},
		"is shutting down meanwhile": {fixedPeers{err: fault.New(fault.NoOwner, "shutting down")}, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			n := owningNode(t, map[string]float64{"node-2": 1})
			n.memberSample.members["node-2"] = member{Name: "node-2", Address: "node-2"}
			n.dependencies.Peers = c.peers
			n.askPossibleSuccessors()
			require.Empty(t, n.statements.queries, "the store is reachable")
			n.recordStoreFailure(rows.ErrOutcomeUnknown)
			n.askPossibleSuccessors()
			n.loop.awaitPost(t)
			n.loop.runPosted()
			require.Equal(t, c.owner, n.owned[poolName] != nil)
			if c.owner {
				require.Equal(t, c.confirmed, n.sinceConfirmed() < time.Second)
			}
		})
	}
}

// TestAnswerCountsAsOfItsQuestion: an answer may have waited while the process was stopped.
func TestAnswerCountsAsOfItsQuestion(t *testing.T) {
	const stopped = 20 * time.Second
	n := owningNode(t, map[string]float64{"node-2": 1})
	n.memberSample.members["node-2"] = member{Name: "node-2", Address: "node-2"}
	n.dependencies.Peers = fixedPeers{}
	n.recordStoreFailure(rows.ErrOutcomeUnknown)
	n.askPossibleSuccessors()
	n.loop.awaitPost(t)
	n.loop.skip(stopped)
	n.loop.runPosted()
	require.Equal(t, stopped, n.sinceConfirmed())
}

// TestAbsentMembersRemainPossibleSuccessors: a node whose row was removed as expired may be alive, one that
// has removed its rows itself acquires nothing.
func TestAbsentMembersRemainPossibleSuccessors(t *testing.T) {
	n := owningNode(t, map[string]float64{"node-2": 1, "node-3": 1})
	n.memberSample.partial = false
	gone := memberRow("node-3", 9)
	gone.Gone = true
	n.applyLeaseTableRow(gone)
	listing := rows.Listing{Version: 10}
	for _, m := range []member{n.self(), {Name: "node-4"}} {
		listing.Rows = append(listing.Rows, rows.Row{Key: rows.Key{Table: memberTable, Name: memberRowName(m)}, Value: pool.Encode(m), Version: 8})
	}
	n.applySample(listing)
	require.Contains(t, n.possibleSuccessors(), "node-2")
	require.NotContains(t, n.possibleSuccessors(), "node-3")
	n.loop.skip(memberRetention + time.Second)
	require.Equal(t, []string{"node-4"}, sortedKeys(n.possibleSuccessors()))
}

// TestFormerOwnerIsNotConfirmedBesideUnknownSuccessor: a node with a new name joins while the owner and all
// nodes that it knows have lost the store, and takes over.
func TestFormerOwnerIsNotConfirmedBesideUnknownSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newOwnedWorld(t, "a", "b", "c")
		w.isolate([]string{"a", "b", "c", "w1"}, []string{"d"})
		w.setStoreLoss(storeSilent, "a", "b", "c")
		time.Sleep(3 * time.Second)
		w.start("d")
		time.Sleep(30 * time.Second)
		require.Equal(t, "d", w.ownerOfRow())
		w.requireSound("unknown successor")
	})
}

// BenchmarkJudgmentInLargeCluster measures a ping of an owner without the store in the largest cluster.
func BenchmarkJudgmentInLargeCluster(b *testing.B) {
	const count = 583
	n := New(b.Context(), Options{Name: "node-1"}, Dependencies{Store: newFakeStore(), Loop: newManualLoop(), Recorder: discardRecorder{}})
	n.memberSample.members["node-1"] = member{Name: "node-1"}
	p := pool.New(n.poolOptions(poolName), n.dependencies.Loop, n.ports, discardRecorder{}, 5)
	n.owned[poolName] = p
	held := int64(0)
	requests := make([]pingRequest, count)
	for i := range requests {
		requests[i] = pingRequest{Pool: poolName, From: fmt.Sprintf("other-%03d", i), Token: 5, StoreLost: true, HeldMillis: &held}
	}
	manual := n.dependencies.Loop.(*manualLoop)
	for i := 0; b.Loop(); i++ {
		manual.now = manual.now.Add(pingPeriod / count)
		n.handlePingOfOwner(p, &requests[i%count])
	}
}
