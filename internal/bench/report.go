package bench

import (
	"fmt"
	"image/color"
	"os"
	"path/filepath"
	"slices"

	"github.com/spf13/cobra"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/wheatroad/wheatroad/internal/figures"
	"github.com/wheatroad/wheatroad/internal/schedule"
	"github.com/wheatroad/wheatroad/internal/trace"
	"github.com/wheatroad/wheatroad/internal/workload"
)

func newReportCommand() *cobra.Command {
	var clusterPath string
	options := workload.Options{Bursts: workload.MixedBursts, Failures: true}
	command := &cobra.Command{
		Use:     "report DIR --cluster C.toml",
		Short:   "Replay a generated trace under every policy and write plots and a table",
		Example: "  wheatroad-bench report out/ --cluster site.toml --load 0.9",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return writeReport(args[0], clusterPath, options)
		},
	}
	flags := command.Flags()
	flags.StringVar(&clusterPath, "cluster", "", "cluster file")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed")
	flags.Float64Var(&options.Load, "load", 0.9, "requested accelerator-seconds divided by available accelerator-seconds")
	flags.Float64Var(&options.Hours, "hours", 168, "length of the trace in hours")
	return command
}

// series is the replay result of one policy or weight.
type series struct {
	name   string
	result figures.Result
}

func writeReport(dir, clusterPath string, options workload.Options) error {
	c, err := trace.ReadCluster(clusterPath)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	lines := workload.Generate(c, options)
	var byPolicy []series
	for _, name := range []string{"first-fit", "best-fit", "wheatroad"} {
		policy, err := schedule.Named(name)
		if err != nil {
			return err
		}
		events, _ := runReplay(c, lines, policy)
		byPolicy = append(byPolicy, series{name, figures.Compute(c, lines, events)})
	}
	var byWeight []series
	for _, weight := range []float64{0, 0.25, 0.5, 0.75, 1} {
		events, _ := runReplay(c, lines, schedule.Weighted(weight))
		byWeight = append(byWeight, series{fmt.Sprintf("%g", weight), figures.Compute(c, lines, events)})
	}
	if err := writeTable(filepath.Join(dir, "table.md"), byPolicy, byWeight); err != nil {
		return err
	}
	return writePlots(dir, byPolicy, byWeight)
}

func writeTable(path string, byPolicy, byWeight []series) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	fmt.Fprintln(file, "| policy | completion mean s | p95 s | wait mean s | urgent start p99 s | fragmentation | utilization | late | preemptions |")
	fmt.Fprintln(file, "|---|---|---|---|---|---|---|---|---|")
	for _, s := range byPolicy {
		writeRow(file, s.name, s.result.Figures)
	}
	for _, s := range byWeight {
		writeRow(file, "weight "+s.name, s.result.Figures)
	}
	return nil
}

func writeRow(file *os.File, name string, f figures.Figures) {
	fmt.Fprintf(file, "| %s | %.0f | %.0f | %.0f | %.1f | %.3f | %.3f | %d | %d |\n", name, f.CompletionMean, f.CompletionP95,
		f.WaitMean, f.UrgentStartP99, f.Fragmentation, f.Utilization, f.LateGuaranteedStarts, f.Preemptions)
}

func writePlots(dir string, byPolicy, byWeight []series) error {
	plots := []struct {
		file, title, x, y string
		points            func(series) plotter.XYs
		logX              bool
	}{
		{"completion.png", "Completion time", "seconds from submission to end", "share of jobs", completionPoints, true},
		{"fragmentation.png", "Fragmentation over time", "hours", "fragmentation", func(s series) plotter.XYs {
			return hourlyMeans(s, func(sample figures.Sample) float64 { return sample.Fragmentation })
		}, false},
		{"utilization.png", "Utilization over time", "hours", "fraction of accelerators in use", func(s series) plotter.XYs {
			return hourlyMeans(s, func(sample figures.Sample) float64 { return sample.Utilization })
		}, false},
		{"waits.png", "Mean wait by size", "requested accelerators", "seconds", waitPoints, true},
	}
	for _, p := range plots {
		if err := drawLines(filepath.Join(dir, p.file), p.title, p.x, p.y, byPolicy, p.points, p.logX); err != nil {
			return err
		}
	}
	return drawTradeoff(filepath.Join(dir, "tradeoff.png"), byWeight)
}

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

func lineColor(index int) color.Color {
	return []color.Color{color.RGBA{R: 200, A: 255}, color.RGBA{B: 200, A: 255}, color.RGBA{G: 140, A: 255}}[index%3]
}

func drawLines(path, title, x, y string, byPolicy []series, points func(series) plotter.XYs, logX bool) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	if logX {
		p.X.Scale = plot.LogScale{}
		p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	}
	for index, s := range byPolicy {
		line, err := plotter.NewLine(points(s))
		if err != nil {
			return err
		}
		line.Color = lineColor(index)
		p.Add(line)
		p.Legend.Add(s.name, line)
	}
	return p.Save(plotWidth, plotHeight, path)
}

func completionPoints(s series) plotter.XYs {
	times := make([]float64, len(s.result.Jobs))
	for i, j := range s.result.Jobs {
		times[i] = max(1, j.Completion)
	}
	slices.Sort(times)
	points := make(plotter.XYs, len(times))
	for i, t := range times {
		points[i] = plotter.XY{X: t, Y: float64(i+1) / float64(len(times))}
	}
	return points
}

const secondsPerHour = 3600

// hourlyMeans returns the time-weighted mean of the samples in each hour.
func hourlyMeans(s series, value func(figures.Sample) float64) plotter.XYs {
	sums, weights := map[int]float64{}, map[int]float64{}
	lastHour := 0
	samples := s.result.Samples
	for i := 0; i+1 < len(samples); i++ {
		hour := int(samples[i].At / secondsPerHour)
		length := samples[i+1].At - samples[i].At
		sums[hour] += value(samples[i]) * length
		weights[hour] += length
		lastHour = max(lastHour, hour)
	}
	var points plotter.XYs
	for hour := 0; hour <= lastHour; hour++ {
		if weights[hour] > 0 {
			points = append(points, plotter.XY{X: float64(hour), Y: sums[hour] / weights[hour]})
		}
	}
	return points
}

func waitPoints(s series) plotter.XYs {
	sums, counts := map[int]float64{}, map[int]float64{}
	for _, j := range s.result.Jobs {
		size := max(1, j.Size)
		sums[size] += j.Wait
		counts[size]++
	}
	var points plotter.XYs
	for size, sum := range sums {
		points = append(points, plotter.XY{X: float64(size), Y: sum / counts[size]})
	}
	slices.SortFunc(points, func(a, b plotter.XY) int { return int(a.X - b.X) })
	return points
}

func drawTradeoff(path string, byWeight []series) error {
	p := plot.New()
	p.Title.Text = "Mean completion time against fragmentation, by weight"
	p.X.Label.Text, p.Y.Label.Text = "mean completion, seconds", "fragmentation"
	points := make(plotter.XYs, len(byWeight))
	names := make([]string, len(byWeight))
	for i, s := range byWeight {
		points[i] = plotter.XY{X: s.result.Figures.CompletionMean, Y: s.result.Figures.Fragmentation}
		names[i] = "weight " + s.name
	}
	line, dots, err := plotter.NewLinePoints(points)
	if err != nil {
		return err
	}
	labels, err := plotter.NewLabels(plotter.XYLabels{XYs: points, Labels: names})
	if err != nil {
		return err
	}
	p.Add(line, dots, labels)
	return p.Save(plotWidth, plotHeight, path)
}
