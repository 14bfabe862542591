package declaration

import (
	"strings"
	"testing"
	"testing/fstest"

	"github.com/stretchr/testify/require"
)

const validDeclaration = `
[[tenant]]
name = "a"
  [[tenant.guarantee]]
  members = 4
  accelerators = 8
  spread = "rack"
  count = 2
`

func TestParseErrorNamesField(t *testing.T) {
	cases := map[string]struct{ document, wantInError string }{
		"malformed":         {"[[tenant]\n", "line 2"},
		"unknown key":       {"[[tenant]]\nname = \"a\"\ncolour = 1\n", "tenant.colour"},
		"invalid name":      {"[[tenant]]\nname = \"a b\"\n", "tenant.name"},
		"duplicate tenant":  {"[[tenant]]\nname = \"a\"\n[[tenant]]\nname = \"a\"\n", "tenant.a"},
		"negative quota":    {"[[tenant]]\nname = \"a\"\nquota.accelerators = -1\n", "tenant.a.quota.accelerators"},
		"short key hash":    {"[[tenant]]\nname = \"a\"\nkey_hashes = [\"ab\"]\n", "tenant.a.key_hashes"},
		"zero members":      {strings.Replace(validDeclaration, "members = 4", "members = 0", 1), "tenant.a.guarantee.members"},
		"gang too large":    {strings.Replace(validDeclaration, "members = 4", "members = 1025", 1), "tenant.a.guarantee.members"},
		"zero accelerators": {strings.Replace(validDeclaration, "accelerators = 8", "accelerators = 0", 1), "tenant.a.guarantee.accelerators"},
		"unknown spread":    {strings.Replace(validDeclaration, `"rack"`, `"shelf"`, 1), "tenant.a.guarantee.spread"},
		"negative count":    {strings.Replace(validDeclaration, "count = 2", "count = -2", 1), "tenant.a.guarantee.count"},
		"rack without zone": {`drained_racks = ["rack00"]`, "drained_racks"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Parse(c.document)
			require.ErrorContains(t, err, c.wantInError)
		})
	}
}

func TestReadDirErrorNamesFile(t *testing.T) {
	dir := fstest.MapFS{"a.toml": {Data: []byte(validDeclaration)}, "b.toml": {Data: []byte("[[tenant]]\nname = \"\"\n")}}
	_, err := ReadDir(dir)
	require.ErrorContains(t, err, "b.toml")
	delete(dir, "b.toml")
	parsed, err := ReadDir(dir)
	require.NoError(t, err)
	require.Equal(t, 2, parsed.FindTenant("a").Guarantees[0].Count)
}

func TestDigestIgnoresOrder(t *testing.T) {
	first, err := Parse("[[tenant]]\nname = \"a\"\n[[tenant]]\nname = \"b\"\n")
	require.NoError(t, err)
	second, err := Parse("[[tenant]]\nname = \"b\"\n[[tenant]]\nname = \"a\"\n")
	require.NoError(t, err)
	require.Equal(t, first.Digest(), second.Digest())
	require.Empty(t, Diff(first, second))
}

func FuzzParse(f *testing.F) {
	f.Add(validDeclaration)
	f.Add("drained_racks = [\"r/z/k\"]")
	f.Fuzz(func(t *testing.T, document string) {
		parsed, err := Parse(document)
		if err != nil {
			return
		}
		require.NoError(t, parsed.Validate())
		require.Empty(t, Diff(parsed, parsed))
	})
}
