package settings

import (
	"testing"

	"github.com/stretchr/testify/require"
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
}

func TestNodeSettingsReportEveryInvalidField(t *testing.T) {
	_, err := ParseNode(`
name = "not a name"
callers = "host:1"
unknown = 1
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
	for _, key := range []string{"name", "callers", "readiness", "peers", "store", "unknown", "bounds.max_hold_ms", "bounds.remote_factor", "stop.serve_s"} {
		require.True(t, keys[key], key)
	}
}
