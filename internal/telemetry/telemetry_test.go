package telemetry

import (
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/fault"
)

// TestCountersPageIsTrue checks that the operators' page documents all metrics and error kinds.
func TestCountersPageIsTrue(t *testing.T) {
	page, err := os.ReadFile("../../docs/operations/counters.md")
	require.NoError(t, err)
	text := string(page)
	tele, err := New(logr.Discard())
	require.NoError(t, err)
	for short := range Definitions() {
		tele.Count(short, "some_reason")
	}
	for short := range Gauges() {
		tele.Set(short, 1)
		require.Contains(t, text, "`wheatroad_"+strings.ReplaceAll(strings.TrimPrefix(Gauges()[short].Name, "wheatroad."), ".", "_")+"`")
	}
	recorder := httptest.NewRecorder()
	tele.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	exposed := 0
	for _, line := range strings.Split(recorder.Body.String(), "\n") {
		name, _, found := strings.Cut(line, "{")
		if !found || !strings.HasPrefix(name, "wheatroad_") {
			continue
		}
		exposed++
		require.Contains(t, text, "`"+name+"`")
	}
	require.Equal(t, len(Definitions()), exposed)
	requireHistograms(t, tele, text)
	for _, kind := range fault.Kinds() {
		require.Contains(t, text, "`"+string(kind)+"`")
	}
}

// requireHistograms checks that all histograms are served and documented on the page.
func requireHistograms(t *testing.T, tele *Telemetry, page string) {
	for short := range Histograms() {
		tele.Observe(short, 3*time.Millisecond)
	}
	recorder := httptest.NewRecorder()
	tele.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	for short, definition := range Histograms() {
		name := strings.ReplaceAll(definition.Name, ".", "_") + "_seconds"
		require.Contains(t, recorder.Body.String(), name+"_bucket{le=\"0.005\"} 1", short)
		require.Contains(t, page, "`"+name+"`")
	}
}

func TestUnknownCountersAreDropped(t *testing.T) {
	tele, err := New(logr.Discard())
	require.NoError(t, err)
	tele.Count("no_such_counter", "reason")
	tele.Observe("no_such_histogram", time.Second)
}

// TestOwnCountersComeFirst checks that the node's counters fit in the first 4,000 bytes, which
// is all that a truncating scraper keeps, and that no metric family appears twice.
func TestOwnCountersComeFirst(t *testing.T) {
	tele, err := New(logr.Discard())
	require.NoError(t, err)
	for short := range Definitions() {
		tele.Count(short, "some_reason")
	}
	for short := range Histograms() {
		tele.Observe(short, time.Millisecond)
	}
	recorder := httptest.NewRecorder()
	tele.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	var families []string
	seen := map[string]bool{}
	for _, line := range strings.Split(recorder.Body.String(), "\n") {
		family, found := strings.CutPrefix(line, "# TYPE ")
		if !found {
			continue
		}
		name, _, _ := strings.Cut(family, " ")
		require.False(t, seen[name], name)
		seen[name] = true
		families = append(families, name)
	}
	for _, name := range families[:len(Definitions())] {
		require.True(t, strings.HasPrefix(name, "wheatroad_") && strings.HasSuffix(name, "_total"), name)
	}
	counters, _, _ := strings.Cut(recorder.Body.String(), "# TYPE "+families[len(Definitions())])
	require.Less(t, len(counters), 4000)
}
