package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPauseGrowsWithCycleDuration guards against scheduling cycles that take most of the processor
// when many units wait. Such cycles delay run ends, commands and ping responses.
func TestPauseGrowsWithCycleDuration(t *testing.T) {
	cases := map[string]struct {
		took    time.Duration
		crowded bool
		want    time.Duration
	}{
		"short":            {time.Millisecond, true, minCyclePause},
		"long":             {40 * time.Millisecond, true, 120 * time.Millisecond},
		"no unplaced unit": {40 * time.Millisecond, false, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p, clock, _ := newWriterPool()
			p.loaded = true
			p.lastCycleEnd, p.lastCycleDuration, p.hasBacklog = clock.Now(), c.took, c.crowded
			p.scheduleCycle()
			if c.want > 0 {
				clock.advance(c.want - time.Millisecond)
				require.True(t, p.cycleScheduled, "the cycle is scheduled but has not run")
				clock.advance(time.Millisecond)
			}
			require.False(t, p.cycleScheduled, "the cycle has run")
		})
	}
}
