package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/wheatroad/wheatroad/internal/cluster"
	"github.com/wheatroad/wheatroad/internal/declaration"
	"github.com/wheatroad/wheatroad/internal/job"
)

// fitsExhaustively tries every placement of the copies, rack by rack and worker by
// worker, on workers with so many accelerators free.
func fitsExhaustively(racks [][]int, copies []job.Shape) bool {
	if len(copies) == 0 {
		return true
	}
	shape := copies[0]
	for _, rack := range racks {
		if placeMembers(rack, 0, shape.Members, shape.Accelerators, func() bool { return fitsExhaustively(racks, copies[1:]) }) {
			return true
		}
	}
	return false
}

func placeMembers(rack []int, from, members, accelerators int, then func() bool) bool {
	if members == 0 {
		return then()
	}
	for number := from; number < len(rack); number++ {
		if rack[number] < accelerators {
			continue
		}
		rack[number] -= accelerators
		ok := placeMembers(rack, number, members-1, accelerators, then)
		rack[number] += accelerators
		if ok {
			return true
		}
	}
	return false
}

// TestWitnessAgainstExhaustiveSearch compares the greedy witness with every possible
// one on small clusters: where it finds a place for all, there is one, and it misses
// few of those that exist.
func TestWitnessAgainstExhaustiveSearch(t *testing.T) {
	possible, missed := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := New(Default(), cluster.NewState())
		now := time.Unix(0, 0)
		racks := [][]int{{4, 4, 4}, {4, 4}}
		for rack := range racks {
			for number, accelerators := range racks[rack] {
				s.AddWorker(now, fmt.Sprintf("k%d/w%d", rack, number), cluster.Location{Region: "r", Zone: "z", Rack: fmt.Sprint(rack)},
					cluster.Amount{Accelerators: int32(accelerators), Slots: 8})
			}
		}
		var tenant declaration.Tenant
		var copies []job.Shape
		for range rapid.IntRange(1, 4).Draw(t, "copies") {
			shape := job.Shape{Members: rapid.IntRange(1, 3).Draw(t, "members"), Accelerators: rapid.IntRange(1, 4).Draw(t, "accelerators"), Spread: job.SpreadRack}
			copies = append(copies, shape)
			tenant.Guarantees = append(tenant.Guarantees, declaration.Guarantee{Shape: shape, Count: 1})
		}
		found := s.Configure(now, []declaration.Tenant{tenant}) == 0
		exists := fitsExhaustively(racks, copies)
		require.True(t, exists || !found, "the witness holds what does not fit: %v", copies)
		if exists {
			possible++
			if !found {
				missed++
			}
		}
	})
	t.Logf("the greedy witness missed %d of %d possible ones", missed, possible)
	require.LessOrEqual(t, missed*20, possible, "more than one in twenty missed")
}
