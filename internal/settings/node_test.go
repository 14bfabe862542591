package settings

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/features"
)

const validNode = `
name = "node-1"
callers = "127.0.0.1:1"
readiness = "127.0.0.1:2"
peers = "127.0.0.1:3"
store = "127.0.0.1:4"
`

func TestNodeSettings(t *testing.T) {
	s, err := ParseNode(validNode)
	require.NoError(t, err)
	require.EqualValues(t, 6000, s.Periods.MaxHoldMillis)
	require.Equal(t, 65_536, s.StoreRowBytes)
}

func TestNodeSettingsReportEveryInvalidField(t *testing.T) {
	_, err := ParseNode(`
name = "not a name"
callers = "host:1"
unknown = 1
store_row_bytes = 100
[bounds]
max_hold_ms = -1
remote_factor = 0.5
[stop]
serve_s = 60
`)
	var problems FieldErrors
	require.ErrorAs(t, err, &problems)
	keys := map[string]bool{}
	for _, problem := range problems {
		keys[problem.Key] = true
	}
	for _, key := range []string{"name", "callers", "readiness", "peers", "store", "store_row_bytes", "unknown", "bounds.max_hold_ms", "bounds.remote_factor", "stop.serve_s"} {
		require.True(t, keys[key], key)
	}
}

func TestNodeRegions(t *testing.T) {
	cases := map[string]struct {
		text    string
		several bool
		invalid bool
	}{
		"no zones":                  {"", false, false},
		"one region":                {"[zones]\na = \"near\"\nb = \"near\"", false, false},
		"two regions":               {"region = \"near\"\n[zones]\na = \"near\"\nb = \"far\"", true, false},
		"two regions, own one lost": {"[zones]\na = \"near\"\nb = \"far\"", true, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, err := ParseNode(validNode + c.text)
			require.Equal(t, c.invalid, err != nil)
			if err == nil {
				require.Equal(t, c.several, s.SeveralRegions())
			}
		})
	}
}

func TestNodePolicies(t *testing.T) {
	s, err := ParseNode(validNode + "[policies]\ntenant_sharing = \"off\"")
	require.NoError(t, err)
	require.Equal(t, features.Settings{TenantSharing: features.Off}, s.Policies.Features())
	s, err = ParseNode(validNode + "[policies]\ntenant_sharing = \"\"")
	require.NoError(t, err)
	require.Equal(t, features.Settings{TenantSharing: features.Auto}, s.Policies.Features())
	_, err = ParseNode(validNode + "[policies]\ntenant_sharing = \"maybe\"")
	require.ErrorContains(t, err, "policies.tenant_sharing")
}

// TestNodeSettingsBeyondDurationsAreRejected: periods that no duration holds, and numbers that are none,
// must be named when the file is read. A process that runs by them ends or waits for nothing.
func TestNodeSettingsBeyondDurationsAreRejected(t *testing.T) {
	const sound = "name = \"n\"\ncallers = \"127.0.0.1:1\"\nreadiness = \"127.0.0.1:2\"\npeers = \"127.0.0.1:3\"\nstore = \"127.0.0.1:4\"\n"
	_, err := ParseNode(sound)
	require.NoError(t, err)
	top := map[string][]string{"memory_mb": {"9223372036854775807", "-1"}, "link_mbps": {"inf", "nan", "1e300"}, "cpu_share": {"inf", "nan", "1e300"}}
	bounds := map[string][]string{"remote_factor": {"inf", "nan", "1e300"}}
	for _, key := range []string{"max_hold_ms", "stop_timeout_ms", "gang_timeout_ms", "reclaim_ms", "config_apply_ms", "unacknowledged_ms", "evacuation_ms"} {
		bounds[key] = []string{"9223372036854775807", "9223372036855", "-1"}
	}
	for _, key := range []string{"checkpoint_interval_s", "status_s", "grace_period_s"} {
		bounds[key] = []string{"inf", "nan", "1e300", "1e10", "-1.0"}
	}
	requireRejected := func(text, key, value string) {
		_, err := ParseNode(text)
		require.ErrorContains(t, err, key, "%s = %s", key, value)
	}
	for key, values := range top {
		for _, value := range values {
			requireRejected(key+" = "+value+"\n"+sound, key, value)
		}
	}
	for key, values := range bounds {
		for _, value := range values {
			requireRejected(sound+"[bounds]\n"+key+" = "+value+"\n", key, value)
		}
	}
}

func TestRowBytesOfEnvironment(t *testing.T) {
	cases := map[string]struct {
		value string
		want  int
	}{
		"not set":      {"", 65_536},
		"set":          {"20000", 20_000},
		"no number":    {"many", 0},
		"out of range": {"100", 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "node.toml")
			require.NoError(t, os.WriteFile(path, []byte(validNode), 0o600))
			t.Setenv("WHEATROAD_STORE_ROW_BYTES", c.value)
			s, err := ReadNode(path)
			if c.want == 0 {
				require.Error(t, err)
				return
			}
			require.NoError(t, err)
			require.Equal(t, c.want, s.StoreRowBytes)
		})
	}
}
