package mechanism

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestParseDisabled(t *testing.T) {
	off, err := ParseDisabled([]string{"headroom", "store-relay"})
	require.NoError(t, err)
	require.True(t, off[Headroom])
	require.True(t, off[StoreRelay])
	require.False(t, off[Standbys])
	_, err = ParseDisabled([]string{"headrom"})
	require.ErrorContains(t, err, "headrom")
	require.False(t, Disabled(nil)[Headroom])
}
