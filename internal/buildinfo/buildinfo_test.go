package buildinfo

import (
	"runtime/debug"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestVersionOf(t *testing.T) {
	revision := debug.BuildSetting{Key: "vcs.revision", Value: "0123456789abcdef0123456789abcdef01234567"}
	modified := func(value string) debug.BuildSetting { return debug.BuildSetting{Key: "vcs.modified", Value: value} }
	cases := map[string]struct {
		settings []debug.BuildSetting
		want     string
	}{
		"outside a repository": {nil, "dev"},
		"clean work tree":      {[]debug.BuildSetting{revision, modified("false")}, "0123456789ab"},
		"uncommitted changes":  {[]debug.BuildSetting{modified("true"), revision}, "0123456789ab-dirty"},
		"short revision":       {[]debug.BuildSetting{{Key: "vcs.revision", Value: "0123"}}, "0123"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, versionOf(c.settings)) })
	}
}
