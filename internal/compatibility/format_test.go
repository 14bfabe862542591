package compatibility

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCommon(t *testing.T) {
	cases := map[string]struct {
		own     Format
		members []Format
		want    Format
	}{
		"nobody states a format":                    {0, []Format{0, 0}, Baseline},
		"all members read the newest":               {2, []Format{2, 2}, 2},
		"one member still reads only the older one": {3, []Format{3, 2, 3}, 2},
		"a member of a version without formats":     {3, []Format{3, 0}, Baseline},
		"the only member":                           {2, nil, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, Common(c.own, c.members)) })
	}
}

func TestReadable(t *testing.T) {
	require.True(t, Readable(0))
	require.True(t, Readable(Newest))
	require.False(t, Readable(Newest+1))
}
