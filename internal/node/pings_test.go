package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAllNodesPingOwners: full rounds must come each pingPeriod, whatever the interval between
// rounds and even if timers are late.
func TestAllNodesPingOwners(t *testing.T) {
	const span = 20 * time.Second
	for _, pause := range []time.Duration{standbyPingPeriod, pingPeriod} {
		for _, late := range []time.Duration{0, 3 * time.Millisecond, 40 * time.Millisecond} {
			var schedule pingSchedule
			now := time.Now()
			end := now.Add(span)
			pings := 0
			for ; now.Before(end); now = now.Add(pause + late) {
				if schedule.fullRoundDue(now) {
					pings++
				}
			}
			require.InDelta(t, span.Seconds()/pingPeriod.Seconds(), pings, 8, "interval %v, timers late by %v", pause, late)
		}
	}
}

// TestPingIntervalDependsOnStandby: a standby schedules rounds of pings each standbyPingPeriod, any
// other node each pingPeriod.
func TestPingIntervalDependsOnStandby(t *testing.T) {
	nineHeavierNodes := map[string]float64{}
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"} {
		nineHeavierNodes[name] = 2
	}
	for name, c := range map[string]struct {
		others map[string]float64
		pause  time.Duration
	}{"guard": {nil, standbyPingPeriod}, "other": {nineHeavierNodes, pingPeriod}} {
		n := newTestNode(t, 1, c.others)
		n.applyLeaseOf("node-1", 5)
		n.loop.timers = nil
		n.pingOwners()
		require.Len(t, n.loop.timers, 1, name)
		require.Equal(t, c.pause, n.loop.timers[0].at.Sub(n.loop.now), name)
	}
}
