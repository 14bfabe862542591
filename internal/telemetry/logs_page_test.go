package telemetry

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var (
	logCall  = regexp.MustCompile(`LogEvent\("([^"]+)"([^\n]*\n?[^\n]*)`)
	logField = regexp.MustCompile(`"([a-z_]+)", `)
)

// TestLogsPageIsTrue checks that the operators' page documents every log message in the
// sources and its fields.
func TestLogsPageIsTrue(t *testing.T) {
	page, err := os.ReadFile("../../docs/operations/logs.md")
	require.NoError(t, err)
	found := 0
	for _, folder := range []string{"../pool", "../node", "../../cmd/wheatroadd"} {
		files, err := filepath.Glob(filepath.Join(folder, "*.go"))
		require.NoError(t, err)
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			source, err := os.ReadFile(file)
			require.NoError(t, err)
			for _, call := range logCall.FindAllStringSubmatch(string(source), -1) {
				found++
				require.Contains(t, string(page), "`"+call[1]+"`", file)
				arguments, _, _ := strings.Cut(call[2], "\n\t}")
				line, _, _ := strings.Cut(arguments, ")\n")
				for _, field := range logField.FindAllStringSubmatch(line, -1) {
					require.Contains(t, string(page), "`"+field[1]+"`", "field of %q in %s", call[1], file)
				}
			}
		}
	}
	require.Greater(t, found, 30)
}
