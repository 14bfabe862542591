package evacuation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var startTime = time.Unix(1000, 0)

func at(seconds int) time.Time { return startTime.Add(time.Duration(seconds) * time.Second) }

func TestApplyAddsAndRemovesZones(t *testing.T) {
	empty := Set{}
	require.False(t, empty.Contains("a"))
	first := NewSet([]Change{{Zone: "a", Revision: 5}}, 7, at(1))
	require.True(t, first.Contains("a"))
	both := first.Apply([]Change{{Zone: "b", Revision: 9}}, 9, at(2))
	require.Equal(t, []string{"a", "b"}, both.Zones())
	require.Equal(t, []string{"a"}, first.Zones(), "With must not modify its receiver")
	removed := both.Apply([]Change{{Zone: "a", Revision: 11, Removed: true}}, 12, at(3))
	require.Equal(t, []string{"b"}, removed.Zones())
	require.Equal(t, at(3), removed.AsOf)
	require.EqualValues(t, 12, removed.Revision)
}

// TestApplyIgnoresStaleChanges guards against responses of the store that arrive out of order.
func TestApplyIgnoresStaleChanges(t *testing.T) {
	known := NewSet([]Change{{Zone: "a", Revision: 10}}, 10, at(5))
	stale := known.Apply([]Change{{Zone: "a", Revision: 4, Removed: true}}, 6, at(1))
	require.True(t, stale.Contains("a"))
	require.EqualValues(t, 10, stale.Revision)
	require.Equal(t, at(5), stale.AsOf)
}

func TestNewest(t *testing.T) {
	older := NewSet(nil, 5, at(1))
	newer := NewSet([]Change{{Zone: "a", Revision: 6}}, 6, at(1))
	require.Equal(t, newer, older.Newest(newer))
	require.Equal(t, newer, newer.Newest(older))
	laterAsOf := NewSet([]Change{{Zone: "a", Revision: 6}}, 6, at(2))
	require.Equal(t, laterAsOf, newer.Newest(laterAsOf))
	require.Equal(t, laterAsOf, laterAsOf.Newest(newer))
}
