package fairshare

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

var (
	start    = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	capacity = taskgraph.Resources{CPU: 1000000, MemoryMB: 1000000, GPUs: 100}
)

func gpus(count int) taskgraph.Resources { return taskgraph.Resources{GPUs: count} }

// newTestLedger returns the ledger of a pool of 100 accelerators, of which large is guaranteed 40 and
// small 10.
func newTestLedger() *Ledger {
	l := NewLedger()
	l.SetPool(capacity, map[string]taskgraph.Resources{"large": gpus(40), "small": gpus(10)})
	return l
}

// items returns one item of one accelerator for each tenant, all of one group.
func items(tenants ...string) []Item {
	all := make([]Item, len(tenants))
	for i, tenant := range tenants {
		all[i] = Item{Tenant: tenant, Demand: gpus(1)}
	}
	return all
}

// order returns the order in which items take their turns if each of them is placed.
func order(l *Ledger, all []Item, now time.Time) []int {
	var indexes []int
	turns := l.Turns(all, now)
	for index, _ := turns.Next(); index != NoItem; index, _ = turns.Next() {
		indexes = append(indexes, index)
		turns.Charge(index)
	}
	return indexes
}

func TestOrderOfTurns(t *testing.T) {
	grouped := items("large", "small", "large", "small")
	grouped[2].Group, grouped[3].Group = 1, 1
	fixed := items("large", "large", "small")
	for i := range fixed {
		fixed[i].InOrder = true
	}
	cases := map[string]struct {
		take map[string]taskgraph.Resources
		all  []Item
		want []int
	}{
		"no items":                           {nil, nil, nil},
		"nobody holds anything":              {nil, items("large", "small"), []int{0, 1}},
		"one tenant keeps its order":         {map[string]taskgraph.Resources{"large": gpus(90)}, items("large", "large", "large"), []int{0, 1, 2}},
		"burst of one tenant":                {map[string]taskgraph.Resources{"large": gpus(50)}, items("large", "large", "small"), []int{2, 0, 1}},
		"both at their share":                {map[string]taskgraph.Resources{"large": gpus(40), "small": gpus(10)}, items("large", "small"), []int{0, 1}},
		"small tenant above its share":       {map[string]taskgraph.Resources{"large": gpus(20), "small": gpus(20)}, items("small", "large"), []int{1, 0}},
		"turns in proportion to the weights": {nil, items("small", "small", "small", "large", "large", "large", "large", "large", "large", "large"), []int{0, 3, 4, 5, 6, 1, 7, 8, 9, 2}},
		"tenant without a guarantee":         {map[string]taskgraph.Resources{"large": gpus(40), "stranger": gpus(1)}, items("stranger", "large"), []int{1, 0}},
		"cores dominate": {map[string]taskgraph.Resources{"large": gpus(10), "small": {CPU: 200000}},
			items("small", "large"), []int{1, 0}},
		"memory dominates": {map[string]taskgraph.Resources{"large": gpus(10), "small": {MemoryMB: 200000}},
			items("small", "large"), []int{1, 0}},
		"groups come before shares":     {map[string]taskgraph.Resources{"large": gpus(50)}, grouped, []int{1, 0, 3, 2}},
		"groups that stay in order":     {map[string]taskgraph.Resources{"large": gpus(50)}, fixed, []int{0, 1, 2}},
		"equal levels keep their order": {nil, items("a", "b", "a", "b"), []int{0, 1, 2, 3}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := newTestLedger()
			for tenant, held := range c.take {
				l.Take(tenant, held, start)
			}
			require.Equal(t, c.want, order(l, c.all, start))
		})
	}
}

// TestOnlyItemsOutOfOrderAreAhead checks that an item counts as ahead only while an earlier one of
// its group is left.
func TestOnlyItemsOutOfOrderAreAhead(t *testing.T) {
	l := newTestLedger()
	l.Take("large", gpus(50), start)
	turns := l.Turns(items("small", "large", "small", "large"), start)
	var ahead []int
	for index, isAhead := turns.Next(); index != NoItem; index, isAhead = turns.Next() {
		if isAhead {
			ahead = append(ahead, index)
		}
		turns.Charge(index)
	}
	require.Equal(t, []int{2}, ahead)
}

// TestSkippedItemsCostNothing checks that items that the pool does not try leave the turn to their
// tenant.
func TestSkippedItemsCostNothing(t *testing.T) {
	turns := newTestLedger().Turns(items("small", "small", "small", "large"), start)
	for want := range 3 {
		index, _ := turns.Next()
		require.Equal(t, want, index)
	}
}

func TestWaitBound(t *testing.T) {
	cases := map[string]struct {
		slack, objective time.Duration
		want             bool
	}{
		"in time":                     {time.Second, time.Second, false},
		"late":                        {-time.Second, time.Second, false},
		"short objective, at bound":   {-minMaxDelay, time.Second, false},
		"short objective, past bound": {-minMaxDelay - 1, time.Second, true},
		"long objective, at bound":    {-10 * time.Minute, time.Minute, false},
		"long objective, past bound":  {-10*time.Minute - 1, time.Minute, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, ExceedsWaitBound(c.slack, c.objective)) })
	}
}

// TestReservationsCountWithinTheirPriority checks that a reservation counts as held in the later groups
// of its priority and not below, and that a placement counts to the end.
func TestReservationsCountWithinTheirPriority(t *testing.T) {
	for _, reserved := range []bool{true, false} {
		all := items("small", "small", "large", "small", "large")
		for i := range all {
			all[i].Group, all[i].Priority = min(i, 1), 0
		}
		all[3].Group, all[4].Group = 2, 2
		all[3].Priority, all[4].Priority = 1, 1
		turns := newTestLedger().Turns(all, start)
		var indexes []int
		for index, _ := turns.Next(); index != NoItem; index, _ = turns.Next() {
			switch {
			case index > 0:
			case reserved:
				turns.ChargeReservation(index)
			default:
				turns.Charge(index)
			}
			indexes = append(indexes, index)
		}
		want := []int{0, 2, 1, 4, 3}
		if reserved {
			want = []int{0, 2, 1, 3, 4}
		}
		require.Equal(t, want, indexes, "reserved: %t", reserved)
	}
}
