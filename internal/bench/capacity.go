package bench

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"

	"github.com/wheatroad/wheatroad/internal/emulator"
)

// Fit is the linear regression of one quantity on the number of workers,
// extrapolated to the design size.
type Fit struct {
	Quantity  string  `json:"quantity"`
	Intercept float64 `json:"intercept"`
	// Slope is per 1,000 workers.
	Slope float64 `json:"slope_per_1000_workers"`
	// RelativeError is the root mean square error divided by the mean.
	RelativeError float64 `json:"relative_error"`
	AtDesignSize  float64 `json:"at_13000_workers"`
	Limit         float64 `json:"limit"`
	WithinLimit   bool    `json:"fits"`
}

func newCapacityCommand() *cobra.Command {
	var nodes int
	var minutes float64
	var plotDir string
	var asJSON bool
	command := &cobra.Command{
		Use:     "capacity",
		Short:   "Measure control-plane cost at several sizes and extrapolate it linearly to the design size",
		Example: "  wheatroad-bench capacity --json --plots docs/plots",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			var results []emulator.Capacity
			encoder := json.NewEncoder(command.OutOrStdout())
			for _, share := range []float64{0.025, 0.05, 0.1, 0.2} {
				result := emulator.MeasureCapacity(share, nodes, time.Duration(minutes*float64(time.Minute)))
				results = append(results, result)
				if err := encoder.Encode(result); err != nil {
					return err
				}
			}
			if asJSON && plotDir == "" {
				return nil
			}
			for _, fit := range fitQuantities(results) {
				if err := encoder.Encode(fit); err != nil {
					return err
				}
			}
			if plotDir == "" {
				return nil
			}
			return plotFits(plotDir, results)
		},
	}
	flags := command.Flags()
	flags.IntVar(&nodes, "nodes", 9, "number of scheduler nodes")
	flags.Float64Var(&minutes, "minutes", 10, "measurement time at each size, in virtual minutes")
	flags.StringVar(&plotDir, "plots", "", "directory for the plots; empty writes none")
	flags.BoolVar(&asJSON, "json", false, "print only one JSON object per size")
	return command
}

// quantity is one measured column and its limit at the design size.
type quantity struct {
	name  string
	limit float64
	value func(emulator.Capacity) float64
}

func quantities() []quantity {
	return []quantity{
		{"cpu_percent", 1.4, func(c emulator.Capacity) float64 { return c.CPUPercent }},
		{"memory_mb", 64, func(c emulator.Capacity) float64 { return c.MemoryMB }},
		{"kilobytes_per_second", 17, func(c emulator.Capacity) float64 { return c.KilobytesPerSecond }},
		{"store_reads_per_second", 2000, func(c emulator.Capacity) float64 { return c.StoreReadsPerSecond }},
		{"store_writes_per_second", 300, func(c emulator.Capacity) float64 { return c.StoreWritesPerSecond }},
		{"config_seconds_p99", 11, func(c emulator.Capacity) float64 { return c.ConfigSecondsP99 }},
		{"urgent_start_seconds_p99", 3, func(c emulator.Capacity) float64 { return c.UrgentSecondsP99 }},
	}
}

func fitQuantities(results []emulator.Capacity) []Fit {
	var fits []Fit
	for _, q := range quantities() {
		fits = append(fits, fitQuantity(q, results))
	}
	return fits
}

const workersPerSlopeUnit = 1000

func fitQuantity(q quantity, results []emulator.Capacity) Fit {
	var x, y []float64
	for _, r := range results {
		x = append(x, float64(r.Workers)/workersPerSlopeUnit)
		y = append(y, q.value(r))
	}
	intercept, slope := stat.LinearRegression(x, y, nil, false)
	squaredResiduals := 0.0
	for i := range x {
		squaredResiduals += math.Pow(y[i]-intercept-slope*x[i], 2)
	}
	fit := Fit{Quantity: q.name, Intercept: intercept, Slope: slope, Limit: q.limit}
	if mean := stat.Mean(y, nil); mean > 0 {
		fit.RelativeError = math.Sqrt(squaredResiduals/float64(len(x))) / mean
	}
	fit.AtDesignSize = intercept + slope*designWorkers/workersPerSlopeUnit
	fit.WithinLimit = fit.AtDesignSize <= q.limit
	return fit
}

func plotFits(dir string, results []emulator.Capacity) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for _, q := range quantities()[:3] {
		p := plot.New()
		p.Title.Text = fmt.Sprintf("%s per node, limit %g", q.name, q.limit)
		p.X.Label.Text, p.Y.Label.Text = "workers", q.name
		points := make(plotter.XYs, len(results))
		for i, r := range results {
			points[i] = plotter.XY{X: float64(r.Workers), Y: q.value(r)}
		}
		dots, err := plotter.NewScatter(points)
		if err != nil {
			return err
		}
		fit := fitQuantity(q, results)
		line := plotter.NewFunction(func(x float64) float64 { return fit.Intercept + fit.Slope*x/workersPerSlopeUnit })
		line.Color = lineColor(1)
		p.Add(dots, line)
		p.X.Max = designWorkers
		p.X.Min, p.Y.Min = 0, 0
		p.Y.Max = math.Max(q.limit, fit.AtDesignSize) * 1.1
		if err := p.Save(plotWidth, plotHeight, filepath.Join(dir, "capacity-"+q.name+".png")); err != nil {
			return err
		}
	}
	return nil
}
