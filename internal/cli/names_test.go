package cli

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCommandNamesAreUnique guards against a command that shadows another of the same name.
func TestCommandNamesAreUnique(t *testing.T) {
	seen := map[string]bool{}
	for _, command := range New("test").Commands() {
		require.False(t, seen[command.Name()], command.Name())
		seen[command.Name()] = true
	}
	require.True(t, seen["status"])
	require.True(t, seen["node-status"])
}
