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
	fleet.Orders
	stops atomic.Int32
}

func (o *countingOrders) Stop(context.Context, *fleet.Worker, fleet.Stop) (fleet.Reply, error) {
	o.stops.Add(1)
	return fleet.Reply{}, nil
}

// Symptom: on machines with links of 2 Mbit/s a pool of 120 workers changed its owner every few seconds,
// accepted jobs had no answer at the end, and a gang ended alone, on a calm day.
// Sequence: an owner sent 200 starts and a hold after each within 0.3 s; their answers took 340 ms and
// more. Its guards' pings, which are given 400 ms, waited behind them, and two misses in a row make
// an owner suspect. The next owner read 0.3 MB and greeted all workers at once, and was suspected itself.
// Cause: an owner used its link in bursts.
// Settled by: 25 lines "pool acquired" in a minute, with answers to starts after 15 ms at first and 338 ms
// at the end of the burst.

// TestBurstsOfOrdersAreSpreadOverASmallLink: one order passes; the next has its turn after minutes on a link
// of a byte a second. Without a rate all go at once.
func TestBurstsOfOrdersAreSpreadOverASmallLink(t *testing.T) {
	const burst = 50
	for name, c := range map[string]struct {
		rate float64
		sent int32
	}{"small": {1, 1}, "not limited": {0, burst}} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			t.Cleanup(cancel)
			orders := &countingOrders{}
			n := New(ctx, Options{Name: "node-1", LinkBytesPerSecond: c.rate}, Edges{
				Store: refusingStore{}, Orders: orders, Peers: peer.NewClient(nil), Loop: loop.NewGoroutine(), Record: discardRecorder{},
			})
			for range burst {
				n.ports.Stop(&fleet.Worker{}, fleet.Stop{}, func(fleet.Reply, error) {})
			}
			require.Eventually(t, func() bool { return orders.stops.Load() == c.sent }, time.Minute, time.Millisecond)
			require.Never(t, func() bool { return orders.stops.Load() > c.sent }, 50*time.Millisecond, 10*time.Millisecond)
		})
	}
}
