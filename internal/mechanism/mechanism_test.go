package mechanism

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestParseDisabled(t *testing.T) {
	disabled, err := ParseDisabled([]string{"headroom", "store-relay"})
	require.NoError(t, err)
	require.True(t, disabled[Headroom])
	require.True(t, disabled[StoreRelay])
	require.False(t, disabled[Standbys])
	_, err = ParseDisabled([]string{"headrom"})
	require.ErrorContains(t, err, "headrom")
	require.False(t, Disabled(nil)[Headroom])
}
