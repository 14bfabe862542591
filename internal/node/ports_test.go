package node

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/fleet"
	"github.com/wheatroad/wheatroad/internal/loop"
	"github.com/wheatroad/wheatroad/internal/peer"
)

// countingOrders counts the orders that reach workers.
type countingOrders struct {
	fleet.WorkerClient
	stops atomic.Int32
}

func (o *countingOrders) Stop(context.Context, *fleet.Worker, fleet.Stop) (fleet.Reply, error) {
	o.stops.Add(1)
	return fleet.Reply{}, nil
}

// TestOrderBurstsAreRateLimited: a burst of orders on a slow link must not delay pings. The second
// order on a link of one byte per second waits for minutes.
func TestOrderBurstsAreRateLimited(t *testing.T) {
	const burst = 50
	for name, c := range map[string]struct {
		rate float64
		sent int32
	}{"small": {1, 1}, "no rate limit": {0, burst}} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			t.Cleanup(cancel)
			orders := &countingOrders{}
			n := New(ctx, Options{Name: "node-1", LinkBytesPerSecond: c.rate}, Dependencies{
				Store: refusingStore{}, Workers: orders, Peers: peer.NewClient(nil), Loop: loop.NewGoroutine(), Recorder: discardRecorder{},
			})
			for range burst {
				n.ports.Stop(&fleet.Worker{}, fleet.Stop{}, func(fleet.Reply, error) {})
			}
			require.Eventually(t, func() bool { return orders.stops.Load() == c.sent }, time.Minute, time.Millisecond)
			require.Never(t, func() bool { return orders.stops.Load() > c.sent }, 50*time.Millisecond, 10*time.Millisecond)
		})
	}
}
