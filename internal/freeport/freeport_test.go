package freeport

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestAddressesAreOutsideEphemeralRange guards against ports of the ephemeral range, which the
// system may assign to another process before the daemon listens.
func TestAddressesAreOutsideEphemeralRange(t *testing.T) {
	const most = 32768
	given := map[string]bool{}
	for range 50 {
		address, err := Address()
		require.NoError(t, err)
		require.False(t, given[address])
		given[address] = true
		resolved, err := net.ResolveTCPAddr("tcp", address)
		require.NoError(t, err)
		require.Less(t, resolved.Port, most, "port is in the ephemeral range")
	}
}
