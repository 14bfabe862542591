package evacuation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var began = time.Unix(1000, 0)

func at(seconds int) time.Time { return began.Add(time.Duration(seconds) * time.Second) }

func TestZonesComeAndGo(t *testing.T) {
	empty := Set{}
	require.False(t, empty.Contains("a"))
	one := Of([]Change{{Zone: "a", Revision: 5}}, 7, at(1))
	require.True(t, one.Contains("a"))
	both := one.With([]Change{{Zone: "b", Revision: 9}}, 9, at(2))
	require.Equal(t, []string{"a", "b"}, both.Zones())
	require.Equal(t, []string{"a"}, one.Zones(), "sets are immutable")
	back := both.With([]Change{{Zone: "a", Revision: 11, Ended: true}}, 12, at(3))
	require.Equal(t, []string{"b"}, back.Zones())
	require.Equal(t, at(3), back.AsOf)
	require.EqualValues(t, 12, back.Revision)
}

// TestLateAnswersChangeNothing: answers may pass each other.
func TestLateAnswersChangeNothing(t *testing.T) {
	known := Of([]Change{{Zone: "a", Revision: 10}}, 10, at(5))
	late := known.With([]Change{{Zone: "a", Revision: 4, Ended: true}}, 6, at(1))
	require.True(t, late.Contains("a"))
	require.EqualValues(t, 10, late.Revision)
	require.Equal(t, at(5), late.AsOf)
}

func TestNewest(t *testing.T) {
	older := Of(nil, 5, at(1))
	newer := Of([]Change{{Zone: "a", Revision: 6}}, 6, at(1))
	require.Equal(t, newer, older.Newest(newer))
	require.Equal(t, newer, newer.Newest(older))
	fresher := Of([]Change{{Zone: "a", Revision: 6}}, 6, at(2))
	require.Equal(t, fresher, newer.Newest(fresher))
	require.Equal(t, fresher, fresher.Newest(newer))
}
