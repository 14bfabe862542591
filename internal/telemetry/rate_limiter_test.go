package telemetry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestBudgetBoundsEachDecision: one decision that comes too often leaves the others alone,
// and the next second tells how many lines were left out.
func TestBudgetBoundsEachDecision(t *testing.T) {
	now := time.Unix(1000, 0)
	limiter := newRateLimiter(func() time.Time { return now })
	for i := range defaultLinesPerSecond + 5 {
		allowed, dropped := limiter.allow("start failed")
		require.Equal(t, i < defaultLinesPerSecond, allowed)
		require.Empty(t, dropped)
	}
	for range requestLinesPerSecond {
		allowed, _ := limiter.allow("job accepted")
		require.True(t, allowed, "decisions about requests have a budget of their own")
	}
	now = now.Add(time.Second)
	allowed, dropped := limiter.allow("placed")
	require.True(t, allowed)
	require.Equal(t, map[string]int{"start failed": 5}, dropped)
	_, dropped = limiter.allow("placed")
	require.Empty(t, dropped, "told once")
}
