package loadsim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/features"
)

// TestSharingShieldsTenantsFromABurst guards against a burst of the largest tenant that all others
// wait for, and against sharing that costs more value than it moves.
func TestSharingShieldsTenantsFromABurst(t *testing.T) {
	load := loadNamed(t, "tenant-burst").scaled(0.3)
	load.Length = 36 * time.Second
	sharing := features.AllOff()
	sharing.TenantSharing = features.On
	compared := Compare(load, []Variant{{Name: "order of arrival", Features: features.AllOff()}, {Name: "shares", Features: sharing}}, 1, 4, 4)
	require.Greater(t, meanOfOthers(compared[1].Tenants), meanOfOthers(compared[0].Tenants)+0.02)
	require.Positive(t, compared[1].MeanTenantGain.Mean)
	require.Greater(t, compared[1].ValueGain.Mean, -compared[1].ValueGain.HalfWidth)
	for _, way := range compared {
		for _, result := range way.Results {
			require.Empty(t, result.Violations)
		}
	}
}

// meanOfOthers returns the mean worth of all tenants but the first, which is the one that bursts.
func meanOfOthers(tenants []Estimate) float64 {
	total := 0.0
	for _, worth := range tenants[1:] {
		total += worth.Mean
	}
	return total / float64(len(tenants)-1)
}

func TestTenantsAreSkewed(t *testing.T) {
	load := loadNamed(t, "tenant-burst")
	require.Len(t, load.Tenants, 10)
	total := 0.0
	for _, tenant := range load.Tenants {
		total += tenant.Share
	}
	require.InDelta(t, 1, total, 1e-9)
	require.InDelta(t, 0.4, load.Tenants[0].Share, 0.01)
	require.Less(t, load.Tenants[9].Share, 0.03)
	counts := make([]int, 10)
	calm := loadNamed(t, "tenants")
	for _, a := range calm.generateArrivals(1) {
		counts[a.tenant]++
	}
	require.Greater(t, counts[0], 8*counts[9])
}

func TestMeanAndWorstTenthOfTenants(t *testing.T) {
	cases := map[string]struct {
		earned      []float64
		mean, worst float64
	}{
		"no tenants":            {nil, 0, 0},
		"one of three":          {[]float64{0.5, 0.25, 0.75}, 0.5, 0.25},
		"one of ten":            {[]float64{1, 0.9, 0.8, 0.7, 0.6, 0.5, 0.4, 0.3, 0.2, 0.1}, 0.55, 0.1},
		"two of eleven":         {[]float64{1, 0.9, 0.8, 0.7, 0.6, 0.5, 0.4, 0.3, 0.25, 0.125, 0.475}, 0.55, 0.1875},
		"a tenant without jobs": {[]float64{-1, 0.5}, 0.5, 0.5},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			values := newTenantValues(make([]Tenant, len(c.earned)))
			for i, earned := range c.earned {
				if earned >= 0 {
					values.add(i, 1, earned)
				}
			}
			mean, worst := summarizeTenants(values.results())
			require.InDelta(t, c.mean, mean, 1e-9)
			require.InDelta(t, c.worst, worst, 1e-9)
		})
	}
}
