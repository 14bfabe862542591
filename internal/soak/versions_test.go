package soak

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestProgramsOfTwoVersions checks that a seed determines the versions, and that daemons start with
// both.
func TestProgramsOfTwoVersions(t *testing.T) {
	options := Options{DaemonPath: "new", OtherDaemonPath: "old", Seed: 3}
	first, second := options.programsFor(1), options.programsFor(1)
	counts := map[string]int{}
	for range 40 {
		path := first.next()
		require.Equal(t, path, second.next())
		counts[path]++
	}
	require.Greater(t, counts["new"], 5)
	require.Greater(t, counts["old"], 5)
}

func TestProgramsOfOneVersion(t *testing.T) {
	options := Options{DaemonPath: "new", Seed: 3}
	programs := options.programsFor(0)
	for range 10 {
		require.Equal(t, "new", programs.next())
	}
}
