package soak

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestFreeAddressesAreTheDaemonsOwn: two soaks at once gave the same port to a daemon each,
// since the system had offered it to both; one of the daemons did not start.
func TestFreeAddressesAreTheDaemonsOwn(t *testing.T) {
	const most = 32768
	given := map[string]bool{}
	for range 50 {
		address, err := freeAddress()
		require.NoError(t, err)
		require.False(t, given[address])
		given[address] = true
		resolved, err := net.ResolveTCPAddr("tcp", address)
		require.NoError(t, err)
		require.Less(t, resolved.Port, most, "the system gives such a port to others")
	}
}
