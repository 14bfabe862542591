package node

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/fault"
	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/uptime"
)

// TestWaitingAddsTheCountsOfOtherPools guards against a count that leaves out jobs which wait in a
// pool to which the queue led before, or that is given although their number is not known.
func TestWaitingAddsTheCountsOfOtherPools(t *testing.T) {
	cases := map[string]struct {
		reply   pingReply
		age     time.Duration
		want    int
		refused bool
	}{
		"jobs wait there":               {reply: pingReply{Waiting: map[string]int{"q": 4, "other": 9}}, want: 7},
		"no jobs wait there":            {reply: pingReply{Loaded: true}, want: 3},
		"owner has not read its rows":   {reply: pingReply{}, refused: true},
		"counts are older than allowed": {reply: pingReply{Waiting: map[string]int{"q": 4}}, age: 3 * time.Second, refused: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := newGateway(t, newFakeStore())
			n := g.node
			// Nobody listens at the owners' address.
			for i, watched := range []string{poolName, nextPool} {
				n.watchers[watched] = &poolWatcher{pool: watched}
				n.leases[watched] = versionedLease{Lease: pool.Lease{Owner: "node-2", Address: "127.0.0.1:1"}, version: int64(1 + i)}
			}
			n.recordWaiting(poolName, &pingReply{Waiting: map[string]int{"q": 3}})
			n.recordWaiting(nextPool, &c.reply)
			if c.age > 0 {
				n.waiting[nextPool] = waitingCounts{counts: c.reply.Waiting, at: uptime.Now().Add(-c.age)}
			}
			n.publishSnapshot()
			count, err := g.WaitingJobs(t.Context(), accessTo(poolName, "tenant"))
			if c.refused {
				require.True(t, fault.IsKind(err, fault.NoOwner), "%v", err)
				return
			}
			require.NoError(t, err)
			require.Equal(t, c.want, count)
		})
	}
}

// TestCountsOutlastATakeover checks that a new owner which has not read its rows does not clear the
// counts of the owner before.
func TestCountsOutlastATakeover(t *testing.T) {
	g := newGateway(t, newFakeStore())
	g.node.recordWaiting(poolName, &pingReply{Waiting: map[string]int{"q": 3}})
	g.node.recordWaiting(poolName, &pingReply{})
	count, recent := g.cachedWaiting(poolName, "q", waitingCacheMaxAge)
	require.True(t, recent)
	require.Equal(t, 3, count)
}

// TestPingRepliesStaySmall guards against replies that grow with the number of queues: at 350 queues they took
// most of the bytes that a node may use for control. Counts that are left out are neither taken for zero
// nor for new.
func TestPingRepliesStaySmall(t *testing.T) {
	for _, queues := range []int{0, 1, 30, 350, 2000} {
		counts := map[string]int{}
		for i := range queues {
			counts[fmt.Sprint("route-", i)] = 100
		}
		var reply pingReply
		reply.setWaiting(counts)
		document, err := json.Marshal(reply)
		require.NoError(t, err)
		unbounded, err := json.Marshal(pingReply{Waiting: counts, Loaded: true})
		require.NoError(t, err)
		t.Logf("%d queues: %d bytes, %d without a bound", queues, len(document), len(unbounded))
		require.LessOrEqual(t, len(document), maxWaitingBytes+200)
		require.Equal(t, queues <= 30, reply.Loaded)
	}
	g := newGateway(t, newFakeStore())
	g.node.recordWaiting(poolName, &pingReply{Waiting: map[string]int{"q": 3}, Loaded: true})
	g.node.recordWaiting(poolName, &pingReply{})
	count, recent := g.cachedWaiting(poolName, "q", waitingCacheMaxAge)
	require.True(t, recent)
	require.Equal(t, 3, count)
}
