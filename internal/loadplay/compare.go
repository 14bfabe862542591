package loadplay

import (
	"math"
	"sync"

	"github.com/wheatroad/wheatroad/internal/mechanism"
)

// Way is one way of deciding, by the mechanisms that are switched off in it.
type Way struct {
	Name string
	Off  mechanism.Off
}

// Estimate is a mean over seeds with the half width of its 95% confidence interval.
type Estimate struct {
	Mean  float64
	Error float64
}

// Comparison is what a way came to over all seeds.
type Comparison struct {
	Way     Way
	Results []Result
	Worth   Estimate
	// Gain is the worth above that of the first way, by pairs of the same seed.
	Gain       Estimate
	Served     Estimate
	Classes    []Estimate
	StopShare  Estimate
	MostStops  int
	ThrownAway Estimate
}

// Compare plays a load in several ways, all by the same seeds, on so many threads at once.
func Compare(load *Load, ways []Way, firstSeed uint64, seeds, threads int) []Comparison {
	compared := make([]Comparison, len(ways))
	var group sync.WaitGroup
	slots := make(chan struct{}, threads)
	for k := range ways {
		compared[k] = Comparison{Way: ways[k], Results: make([]Result, seeds)}
		for n := range seeds {
			slots <- struct{}{}
			group.Go(func() {
				defer func() { <-slots }()
				compared[k].Results[n] = load.Simulate(firstSeed+uint64(n), ways[k].Off)
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
	c.Worth = over(func(i int) float64 { return c.Results[i].Worth })
	c.Gain = over(func(i int) float64 { return c.Results[i].Worth - base[i].Worth })
	c.Served = over(func(i int) float64 { return c.Results[i].Served })
	c.StopShare = over(func(i int) float64 { return float64(c.Results[i].Preempted) / float64(max(1, c.Results[i].Placed)) })
	c.ThrownAway = over(func(i int) float64 { return c.Results[i].ThrownAway })
	for class := range c.Results[0].Classes {
		c.Classes = append(c.Classes, over(func(i int) float64 { return c.Results[i].Classes[class].Worth }))
	}
	for i := range c.Results {
		c.MostStops = max(c.MostStops, c.Results[i].MostStops)
	}
}

// zScore95 is the quantile of the normal distribution for an interval of 95%.
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
		return Estimate{Mean: mean, Error: math.Inf(1)}
	}
	deviation := math.Sqrt(squares / float64(len(values)-1))
	return Estimate{Mean: mean, Error: zScore95 * deviation / math.Sqrt(float64(len(values)))}
}
