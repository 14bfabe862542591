package settings

import (
	"testing"

	"github.com/stretchr/testify/require"
)

const validSettings = `
node = "node1"
zone = "r/z"
[platform]
url = "http://127.0.0.1:7000"
`

func TestParseReportsEveryInvalidKey(t *testing.T) {
	_, err := Parse(validSettings)
	require.NoError(t, err)
	cases := map[string]struct {
		text string
		keys []string
	}{
		"empty":           {"", []string{"node", "zone", "platform.url"}},
		"unknown key":     {validSettings + "colour = 1\n", []string{"platform.colour"}},
		"host name":       {validSettings + "[http]\nlisten = \"localhost:80\"\n", []string{"http.listen"}},
		"several at once": {validSettings + "[limits]\nbody_bytes = 0\nin_flight_per_tenant = 5000\n[log]\nformat = \"xml\"\n", []string{"limits.body_bytes", "limits.in_flight_per_tenant", "log.format"}},
		"weight":          {validSettings + "[scheduling]\nfragmentation_weight = 2\n", []string{"scheduling.fragmentation_weight"}},
		"lease too short": {validSettings + "[timing]\nlease = \"1s\"\n", []string{"timing.lease"}},
		"worker lease":    {validSettings + "[timing]\nworker_lease = \"20s\"\n", []string{"timing.worker_lease", "timing.worker_lease"}},
		"key hash":        {validSettings + "[access]\noperator_key_hashes = [\"x\"]\n", []string{"access.operator_key_hashes"}},
		"duration":        {validSettings + "[timing]\nwatch = \"soon\"\n", []string{"file"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Parse(c.text)
			var problems FieldErrors
			require.ErrorAs(t, err, &problems)
			var keys []string
			for _, problem := range problems {
				keys = append(keys, problem.Key)
			}
			require.Equal(t, c.keys, keys)
		})
	}
}
