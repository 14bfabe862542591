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
	budget := newLineBudget(func() time.Time { return now })
	for i := range defaultBudget + 5 {
		allowed, left := budget.take("start failed")
		require.Equal(t, i < defaultBudget, allowed)
		require.Empty(t, left)
	}
	for range requestBudget {
		allowed, _ := budget.take("job accepted")
		require.True(t, allowed, "decisions about requests have a budget of their own")
	}
	now = now.Add(time.Second)
	allowed, left := budget.take("placed")
	require.True(t, allowed)
	require.Equal(t, map[string]int{"start failed": 5}, left)
	_, left = budget.take("placed")
	require.Empty(t, left, "told once")
}
