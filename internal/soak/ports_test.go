package soak

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestFreeAddressesAreOutsideEphemeralRange guards against ports of the ephemeral range, which the
// system may assign to another process before the daemon listens.
func TestFreeAddressesAreOutsideEphemeralRange(t *testing.T) {
	const most = 32768
	given := map[string]bool{}
	for range 50 {
		address, err := freeAddress()
		require.NoError(t, err)
		require.False(t, given[address])
		given[address] = true
		resolved, err := net.ResolveTCPAddr("tcp", address)
		require.NoError(t, err)
		require.Less(t, resolved.Port, most, "port is in the ephemeral range")
	}
}
