package loadsim

import (
	"math"
	"sync"

	"github.com/wheatroad/wheatroad/internal/mechanism"
)

// Variant is a scheduler configuration, given by the mechanisms that are switched off.
type Variant struct {
	Name               string
	DisabledMechanisms mechanism.Disabled
}

// Estimate is a mean over seeds with the half width of its 95% confidence interval.
type Estimate struct {
	Mean      float64
	HalfWidth float64
}

// Comparison is the summary of one configuration over all seeds.
type Comparison struct {
	Variant    Variant
	Results    []Result
	ValueShare Estimate
	// ValueGain is the mean difference of ValueShare to the first configuration, paired by seed.
	ValueGain       Estimate
	Served          Estimate
	Classes         []Estimate
	PreemptionRate  Estimate
	MaxPreemptions  int
	LostCoreSeconds Estimate
}

// Compare simulates a load under several configurations with the same seeds, on the given number
// of threads.
func Compare(load *Load, ways []Variant, firstSeed uint64, seeds, threads int) []Comparison {
	compared := make([]Comparison, len(ways))
	var group sync.WaitGroup
	slots := make(chan struct{}, threads)
	for k := range ways {
		compared[k] = Comparison{Variant: ways[k], Results: make([]Result, seeds)}
		for n := range seeds {
			slots <- struct{}{}
			group.Go(func() {
				defer func() { <-slots }()
				compared[k].Results[n] = load.Simulate(firstSeed+uint64(n), ways[k].DisabledMechanisms)
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
	over := func(value func(i int) float64) Estimate {
		values := make([]float64, len(c.Results))
		for i := range values {
			values[i] = value(i)
		}
		return estimate(values)
	}
	c.ValueShare = over(func(i int) float64 { return c.Results[i].ValueShare })
	c.ValueGain = over(func(i int) float64 { return c.Results[i].ValueShare - base[i].ValueShare })
	c.Served = over(func(i int) float64 { return c.Results[i].Served })
	c.PreemptionRate = over(func(i int) float64 { return float64(c.Results[i].Preempted) / float64(max(1, c.Results[i].Placed)) })
	c.LostCoreSeconds = over(func(i int) float64 { return c.Results[i].LostCoreSeconds })
	for class := range c.Results[0].Classes {
		c.Classes = append(c.Classes, over(func(i int) float64 { return c.Results[i].Classes[class].Worth }))
	}
	for i := range c.Results {
		c.MaxPreemptions = max(c.MaxPreemptions, c.Results[i].MaxPreemptions)
	}
}

// zScore95 is the quantile of the normal distribution for a 95% interval.
const zScore95 = 1.96

func estimate(values []float64) Estimate {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	mean := sum / float64(len(values))
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
