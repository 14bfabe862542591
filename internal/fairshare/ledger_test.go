package fairshare

import (
	"encoding/json"
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// standingOf returns the standing of one tenant.
func standingOf(t *testing.T, l *Ledger, tenant string, now time.Time) Standing {
	t.Helper()
	for _, s := range l.Standings(maps.Keys(map[string]bool{}), now) {
		if s.Tenant == tenant {
			return s
		}
	}
	require.Fail(t, "tenant is not listed")
	return Standing{}
}

func TestUseBuildsUpAndFades(t *testing.T) {
	l := newTestLedger()
	l.Take("small", gpus(40), start)
	cases := []struct {
		after time.Duration
		held  float64
		used  float64
	}{
		{0, 0.4, 0},
		{useHalfLife, 0.4, 0.2},
		{2 * useHalfLife, 0.4, 0.3},
	}
	for _, c := range cases {
		s := standingOf(t, l, "small", start.Add(c.after))
		require.InDelta(t, c.held, s.Held, 1e-9)
		require.InDelta(t, c.used, s.Used, 1e-9)
	}
	released := start.Add(2 * useHalfLife)
	l.Release("small", gpus(40), released)
	s := standingOf(t, l, "small", released.Add(useHalfLife))
	require.Zero(t, s.Held)
	require.InDelta(t, 0.15, s.Used, 1e-9)
}

// TestGainsArePaidBack checks that a tenant that took more than its share waits behind others after
// it has released everything, until its use has faded.
func TestGainsArePaidBack(t *testing.T) {
	l := newTestLedger()
	l.Take("small", gpus(100), start)
	end := start.Add(useHalfLife)
	l.Release("small", gpus(100), end)
	l.Take("large", gpus(40), end)
	require.Equal(t, []int{1, 0}, order(l, items("small", "large"), end))
	require.Equal(t, []int{0, 1}, order(l, items("small", "large"), end.Add(3*useHalfLife)))
}

// TestCreditIsBounded checks that a tenant that was idle for a day goes first on its return, and no
// longer than one that was idle for a few minutes.
func TestCreditIsBounded(t *testing.T) {
	for _, idle := range []time.Duration{5 * time.Minute, 24 * time.Hour} {
		l := newTestLedger()
		l.Take("large", gpus(100), start)
		now := start.Add(idle)
		s := standingOf(t, l, "small", now)
		require.InDelta(t, 0.2, s.Credit(), 1e-6, "a fifth of the weights")
		owes := standingOf(t, l, "large", now)
		require.InDelta(t, -0.2, owes.Credit(), 1e-4)
		require.Equal(t, []int{1, 0}, order(l, items("large", "small"), now))
		l.Take("small", gpus(51), now)
		require.Equal(t, []int{0, 1}, order(l, items("large", "small"), now), "credit is spent")
	}
}

// TestStandingsListAllTenants checks that guaranteed, using and waiting tenants are listed, and that
// tenants with neither are dropped.
func TestStandingsListAllTenants(t *testing.T) {
	l := newTestLedger()
	l.Take("stranger", gpus(1), start)
	l.Release("stranger", gpus(1), start.Add(time.Second))
	names := func(now time.Time) (tenants []string) {
		for _, s := range l.Standings(maps.Keys(map[string]bool{"newcomer": true}), now) {
			tenants = append(tenants, s.Tenant)
		}
		return tenants
	}
	require.Equal(t, []string{"large", "newcomer", "small", "stranger"}, names(start.Add(time.Second)))
	require.Equal(t, []string{"large", "newcomer", "small"}, names(start.Add(time.Hour)))
}

func TestSectionRoundTrip(t *testing.T) {
	former := newTestLedger()
	former.Take("small", gpus(40), start)
	former.Take("large", gpus(10), start)
	exportedAt := start.Add(useHalfLife)
	document, err := former.Export(exportedAt)
	require.NoError(t, err)
	// The next owner's clock differs, and it learns of the former owner's runs from their rows.
	takeover := start.Add(1000 * time.Hour)
	next := newTestLedger()
	next.Take("small", gpus(40), takeover)
	next.Take("large", gpus(10), takeover)
	require.NoError(t, next.Import(document, takeover, useHalfLife))
	for _, tenant := range []string{"small", "large"} {
		before := standingOf(t, former, tenant, exportedAt)
		after := standingOf(t, next, tenant, takeover)
		require.InDelta(t, before.Used/2, after.Used, 1e-9, "half has faded since the export")
		require.InDelta(t, before.Held, after.Held, 1e-9)
	}
}

// TestExportBeforeTheFirstCycle checks that an owner that does not know the pool's capacity yet passes
// on what it has imported.
func TestExportBeforeTheFirstCycle(t *testing.T) {
	former := newTestLedger()
	former.Take("small", gpus(40), start)
	document, err := former.Export(start.Add(time.Minute))
	require.NoError(t, err)
	short := NewLedger()
	require.NoError(t, short.Import(document, start, 0))
	again, err := short.Export(start)
	require.NoError(t, err)
	require.JSONEq(t, string(document), string(again))
}

func TestExportIsBounded(t *testing.T) {
	l := newTestLedger()
	empty, err := l.Export(start)
	require.NoError(t, err)
	require.Nil(t, empty)
	for i := range 2000 {
		l.Take(fmt.Sprintf("%s-%04d", strings.Repeat("x", 60), i), taskgraph.Resources{MemoryMB: 500 + i}, start)
	}
	l.Take("most", gpus(50), start)
	document, err := l.Export(start.Add(time.Minute))
	require.NoError(t, err)
	require.LessOrEqual(t, len(document), maxSectionBytes)
	require.Contains(t, string(document), `"most"`)
}

func TestInvalidSectionsChangeNothing(t *testing.T) {
	cases := map[string]string{
		"no document":     ``,
		"not an object":   `[]`,
		"negative use":    `{"used":{"small":{"gpus":5},"large":{"gpus":-1}}}`,
		"far too large":   `{"used":{"small":{"gpus":5},"large":{"milli_cores":1e300}}}`,
		"not a number":    `{"used":{"small":{"gpus":"5"}}}`,
		"too many bytes":  `{"used":{"` + strings.Repeat("x", maxSectionBytes) + `":{"gpus":1}}}`,
		"not a document":  `{"used":`,
		"infinite amount": `{"used":{"small":{"gpus":1e999}}}`,
	}
	for name, document := range cases {
		t.Run(name, func(t *testing.T) {
			l := newTestLedger()
			require.Error(t, l.Import(json.RawMessage(document), start, time.Second))
			require.Empty(t, l.accounts)
		})
	}
}

// TestStandingsOnlyRead checks that reading the standings keeps the accounts of idle tenants.
func TestStandingsOnlyRead(t *testing.T) {
	l := newTestLedger()
	l.Take("stranger", gpus(1), start)
	l.Release("stranger", gpus(1), start.Add(time.Second))
	l.Standings(maps.Keys(map[string]bool{}), start.Add(time.Hour))
	require.Len(t, l.accounts, 1)
}

// TestIdleAccountsArePruned checks that only accounts that no longer matter are dropped, also while the
// capacity of the pool is not known.
func TestIdleAccountsArePruned(t *testing.T) {
	for name, l := range map[string]*Ledger{"capacity known": newTestLedger(), "capacity not known": NewLedger()} {
		t.Run(name, func(t *testing.T) {
			l.Take("idle", gpus(100), start)
			l.Take("busy", gpus(1), start)
			released := start.Add(time.Hour)
			l.Release("idle", gpus(100), released)
			l.Prune(released.Add(13 * useHalfLife))
			require.Contains(t, l.accounts, "idle")
			l.Prune(released.Add(14 * useHalfLife))
			require.NotContains(t, l.accounts, "idle")
			require.Contains(t, l.accounts, "busy")
		})
	}
}

// TestExportOmitsEmptyUse checks that tenants without use that is worth keeping are not exported, also
// while the capacity of the pool is not known.
func TestExportOmitsEmptyUse(t *testing.T) {
	for name, l := range map[string]*Ledger{"capacity known": newTestLedger(), "capacity not known": NewLedger()} {
		t.Run(name, func(t *testing.T) {
			l.Take("just started", gpus(1), start)
			document, err := l.Export(start)
			require.NoError(t, err)
			require.Nil(t, document)
			l.Take("former", gpus(1), start)
			l.Release("former", gpus(1), start.Add(time.Second))
			l.Release("just started", gpus(1), start)
			document, err = l.Export(start.Add(15 * useHalfLife))
			require.NoError(t, err)
			require.Nil(t, document)
		})
	}
}

// TestMateriallyChanged checks that a section is written for changes of use, not for the passing of time.
func TestMateriallyChanged(t *testing.T) {
	const small, large = `{"used":{"small":{"gpus":40}}}`, `{"used":{"small":{"gpus":40},"large":{"gpus":20}}}`
	cases := map[string]struct {
		written, current string
		elapsed          time.Duration
		want             bool
	}{
		"unchanged":                      {small, small, 0, false},
		"faded":                          {small, `{"used":{"small":{"gpus":10}}}`, 2 * useHalfLife, false},
		"faded away":                     {small, ``, 20 * useHalfLife, false},
		"held on":                        {small, small, useHalfLife, true},
		"rose by a tenth of the pool":    {small, `{"used":{"small":{"gpus":50}}}`, 0, false},
		"rose by more":                   {small, `{"used":{"small":{"gpus":51}}}`, 0, true},
		"fell by more":                   {small, `{"used":{"small":{"gpus":29}}}`, 0, true},
		"gone":                           {small, ``, 0, true},
		"new tenant":                     {small, large, 0, true},
		"new tenant below a tenth":       {small, `{"used":{"small":{"gpus":40},"large":{"gpus":9}}}`, 0, false},
		"first section":                  {``, small, 0, true},
		"first section, below a tenth":   {``, `{"used":{"small":{"gpus":9}}}`, 0, false},
		"nothing":                        {``, ``, time.Hour, false},
		"null":                           {`null`, `null`, time.Hour, false},
		"written section is not valid":   {`{"used":`, small, 0, true},
		"other resources count":          {small, `{"used":{"small":{"gpus":40,"milli_cores":200000}}}`, 0, true},
		"one resource falls, one rises":  {`{"used":{"small":{"gpus":20}}}`, `{"used":{"small":{"memory_mb":50000}}}`, 0, true},
		"current section cannot be read": {small, `[]`, 0, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := newTestLedger()
			require.Equal(t, c.want, l.MateriallyChanged(json.RawMessage(c.written), json.RawMessage(c.current), c.elapsed))
		})
	}
}

// TestIdleUseChangesWithTimeAlone checks that the export of a ledger in which nothing happens never
// counts as changed, and that a tenant that begins to hold something does.
func TestIdleUseChangesWithTimeAlone(t *testing.T) {
	l := newTestLedger()
	l.Take("small", gpus(100), start)
	released := start.Add(time.Minute)
	l.Release("small", gpus(100), released)
	written, err := l.Export(released)
	require.NoError(t, err)
	for elapsed := time.Duration(0); elapsed < 20*useHalfLife; elapsed += time.Second {
		current, err := l.Export(released.Add(elapsed))
		require.NoError(t, err)
		require.False(t, l.MateriallyChanged(written, current, elapsed))
	}
	l.Take("large", gpus(40), released)
	current, err := l.Export(released.Add(useHalfLife))
	require.NoError(t, err)
	require.True(t, l.MateriallyChanged(written, current, useHalfLife))
}
