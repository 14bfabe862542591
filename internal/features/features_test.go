package features

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/catalog"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

func configuration(guaranteed ...int) *catalog.Catalog {
	c := &catalog.Catalog{}
	for _, gpus := range guaranteed {
		c.Tenants = append(c.Tenants, catalog.Tenant{Guaranteed: taskgraph.Resources{GPUs: gpus}})
	}
	return c
}

func TestResolve(t *testing.T) {
	even := configuration(264, 214, 190, 174, 163, 154, 147, 141, 136, 132)
	uneven := configuration(696, 303, 186, 132, 101, 81, 67, 57, 50, 44)
	cases := map[string]struct {
		settings Settings
		current  *catalog.Catalog
		want     Set
	}{
		"no configuration":      {Settings{}, nil, Set{}},
		"no guarantees":         {Settings{}, configuration(0, 0), Set{}},
		"one tenant":            {Settings{}, configuration(100), Set{}},
		"even guarantees":       {Settings{}, even, Set{}},
		"uneven guarantees":     {Settings{}, uneven, Set{TenantSharing: true}},
		"off despite uneven":    {Settings{TenantSharing: Off}, uneven, Set{}},
		"on without any reason": {Settings{TenantSharing: On}, even, Set{TenantSharing: true}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, Resolve(c.settings, c.current)) })
	}
}

func TestOnlySelectsOnePolicy(t *testing.T) {
	uneven := configuration(696, 303, 186, 132, 101, 81, 67, 57, 50, 44)
	require.Equal(t, Set{}, Resolve(AllOff(), uneven))
	settings, err := Only("tenant-sharing")
	require.NoError(t, err)
	require.Equal(t, Set{TenantSharing: true}, Resolve(settings, configuration(1, 1)))
	_, err = Only("everything")
	require.ErrorContains(t, err, "everything")
}

func TestParseMode(t *testing.T) {
	mode, err := ParseMode("")
	require.NoError(t, err)
	require.Equal(t, Auto, mode)
	mode, err = ParseMode("off")
	require.NoError(t, err)
	require.Equal(t, Off, mode)
	_, err = ParseMode("sometimes")
	require.ErrorContains(t, err, "sometimes")
}
