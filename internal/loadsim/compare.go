package loadsim

import (
	"math"
	"sync"
	"time"

	"github.com/wheatroad/wheatroad/internal/features"
	"github.com/wheatroad/wheatroad/internal/mechanism"
)

// Variant is a scheduler with some mechanisms disabled and some policies enabled.
type Variant struct {
	Name               string
	Features           features.Settings
	DisabledMechanisms mechanism.Disabled
	// TakeoverAt is when the owner fails and another one takes over; 0 means never.
	TakeoverAt time.Duration
}

// Estimate is a mean over seeds with the half width of its 95% confidence interval.
type Estimate struct {
	Mean      float64
	HalfWidth float64
}

// Comparison summarizes the results of one variant over all seeds.
type Comparison struct {
	Variant    Variant
	Results    []Result
	ValueShare Estimate
	// ValueGain is the mean difference between the variant's ValueShare and that of the first
	// variant with the same seed.
	ValueGain Estimate
	Served    Estimate
	GivenUp   Estimate
	Classes   []Estimate
	// ClassGains are the mean differences in the classes' worth from the first variant.
	ClassGains []Estimate
	// Tenants holds the worth of each tenant. MeanTenant and WorstTenants are those of each seed's
	// Result, and their gains the differences from the first variant.
	Tenants          []Estimate
	MeanTenant       Estimate
	MeanTenantGain   Estimate
	WorstTenants     Estimate
	WorstTenantsGain Estimate
	PreemptionRate   Estimate
	MaxPreemptions   int
	LostCoreSeconds  Estimate
}

// Compare simulates a load with several variants and the same seeds. At most threads simulations
// run concurrently.
func Compare(load *Load, variants []Variant, firstSeed uint64, seeds, threads int) []Comparison {
	compared := make([]Comparison, len(variants))
	var group sync.WaitGroup
	slots := make(chan struct{}, threads)
	for k := range variants {
		compared[k] = Comparison{Variant: variants[k], Results: make([]Result, seeds)}
		for n := range seeds {
			slots <- struct{}{}
			group.Go(func() {
				defer func() { <-slots }()
				compared[k].Results[n] = load.Simulate(firstSeed+uint64(n), variants[k])
			})
		}
	}
	group.Wait()
	for k := range compared {
		compared[k].summarize(compared[0].Results)
	}
	return compared
}

func (c *Comparison) summarize(base []Result) {
	estimateOverSeeds := func(value func(i int) float64) Estimate {
		values := make([]float64, len(c.Results))
		for i := range values {
			values[i] = value(i)
		}
		return estimate(values)
	}
	c.ValueShare = estimateOverSeeds(func(i int) float64 { return c.Results[i].ValueShare })
	c.ValueGain = estimateOverSeeds(func(i int) float64 { return c.Results[i].ValueShare - base[i].ValueShare })
	c.Served = estimateOverSeeds(func(i int) float64 { return c.Results[i].Served })
	c.GivenUp = estimateOverSeeds(func(i int) float64 { return c.Results[i].GivenUp })
	c.PreemptionRate = estimateOverSeeds(func(i int) float64 { return float64(c.Results[i].Preempted) / float64(max(1, c.Results[i].Placed)) })
	c.LostCoreSeconds = estimateOverSeeds(func(i int) float64 { return c.Results[i].LostCoreSeconds })
	for class := range c.Results[0].Classes {
		c.Classes = append(c.Classes, estimateOverSeeds(func(i int) float64 { return c.Results[i].Classes[class].Worth }))
		c.ClassGains = append(c.ClassGains, estimateOverSeeds(func(i int) float64 { return c.Results[i].Classes[class].Worth - base[i].Classes[class].Worth }))
	}
	for tenant := range c.Results[0].Tenants {
		c.Tenants = append(c.Tenants, estimateOverSeeds(func(i int) float64 { return c.Results[i].Tenants[tenant].Worth }))
	}
	c.MeanTenant = estimateOverSeeds(func(i int) float64 { return c.Results[i].MeanTenant })
	c.MeanTenantGain = estimateOverSeeds(func(i int) float64 { return c.Results[i].MeanTenant - base[i].MeanTenant })
	c.WorstTenants = estimateOverSeeds(func(i int) float64 { return c.Results[i].WorstTenants })
	c.WorstTenantsGain = estimateOverSeeds(func(i int) float64 { return c.Results[i].WorstTenants - base[i].WorstTenants })
	for i := range c.Results {
		c.MaxPreemptions = max(c.MaxPreemptions, c.Results[i].MaxPreemptions)
	}
}

// zScore95 is the half width of a 95% confidence interval in standard errors.
const zScore95 = 1.96

func estimate(values []float64) Estimate {
	mean := sum(values) / float64(len(values))
	squares := 0.0
	for _, value := range values {
		squares += (value - mean) * (value - mean)
	}
	if len(values) < 2 {
		return Estimate{Mean: mean, HalfWidth: math.Inf(1)}
	}
	deviation := math.Sqrt(squares / float64(len(values)-1))
	return Estimate{Mean: mean, HalfWidth: zScore95 * deviation / math.Sqrt(float64(len(values)))}
}
