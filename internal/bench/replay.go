package bench

import (
	"encoding/json"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/wheatroad/wheatroad/internal/fault"
	"github.com/wheatroad/wheatroad/internal/figures"
	"github.com/wheatroad/wheatroad/internal/replay"
	"github.com/wheatroad/wheatroad/internal/schedule"
	"github.com/wheatroad/wheatroad/internal/trace"
)

type replayOptions struct {
	clusterPath         string
	tracePath           string
	policy              string
	eventsPath          string
	fragmentationWeight float64
	stretchFactor       float64
	preemptRatio        float64
}

func newReplayCommand() *cobra.Command {
	var options replayOptions
	command := &cobra.Command{
		Use:     "replay --cluster C.toml --trace T.jsonl",
		Short:   "Replay a trace in virtual time and print its metrics",
		Example: "  wheatroad-bench replay --cluster site.toml --trace trace.jsonl --policy wheatroad --events out.jsonl",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			result, err := replayTrace(options)
			if err != nil {
				return err
			}
			return json.NewEncoder(command.OutOrStdout()).Encode(result.Figures)
		},
	}
	flags := command.Flags()
	flags.StringVar(&options.clusterPath, "cluster", "", "cluster file")
	flags.StringVar(&options.tracePath, "trace", "", "trace file")
	flags.StringVar(&options.policy, "policy", "wheatroad", "first-fit, best-fit or wheatroad")
	flags.StringVar(&options.eventsPath, "events", "", "event output file; empty writes no events")
	flags.Float64Var(&options.fragmentationWeight, "fragmentation-weight", -1, "fragmentation weight, 0 to 1; a negative value keeps the policy's")
	flags.Float64Var(&options.stretchFactor, "stretch", -1, "stretch factor; a negative value keeps the policy's")
	flags.Float64Var(&options.preemptRatio, "preempt-ratio", -1, "preemption ratio; a negative value keeps the policy's")
	return command
}

func (o *replayOptions) buildPolicy() (schedule.Policy, error) {
	policy, err := schedule.Named(o.policy)
	if err != nil {
		return policy, err
	}
	if o.fragmentationWeight >= 0 && policy.Strategy == schedule.FragmentationAware {
		policy = schedule.Weighted(min(1, o.fragmentationWeight))
	}
	if o.stretchFactor >= 0 {
		policy.StretchFactor = o.stretchFactor
	}
	if o.preemptRatio >= 0 {
		policy.PreemptRatio = o.preemptRatio
	}
	return policy, nil
}

func replayTrace(options replayOptions) (figures.Result, error) {
	policy, err := options.buildPolicy()
	if err != nil {
		return figures.Result{}, err
	}
	c, lines, err := readTrace(options.clusterPath, options.tracePath)
	if err != nil {
		return figures.Result{}, err
	}
	events, cost := runReplay(c, lines, policy)
	if options.eventsPath != "" {
		if err := writeEvents(options.eventsPath, events); err != nil {
			return figures.Result{}, err
		}
	}
	result := figures.Compute(c, lines, events)
	result.Figures.Policy = policy.Name
	result.Figures.Decisions = cost.Decisions
	result.Figures.DecisionSeconds = cost.Seconds
	return result, nil
}

func readTrace(clusterPath, tracePath string) (*trace.Cluster, []trace.Line, error) {
	c, err := trace.ReadCluster(clusterPath)
	if err != nil {
		return nil, nil, err
	}
	file, err := os.Open(tracePath)
	if err != nil {
		return nil, nil, fault.New(fault.InvalidRequest, "%s", err.Error())
	}
	defer file.Close()
	lines, err := trace.Read(file, c)
	return c, lines, err
}

func runReplay(c *trace.Cluster, lines []trace.Line, policy schedule.Policy) ([]trace.Event, replay.Cost) {
	var events []trace.Event
	cost := replay.Run(c, lines, policy, time.Now, func(event trace.Event) { events = append(events, event) })
	return events, cost
}

func writeEvents(path string, events []trace.Event) error {
	return writeLines(path, func(encoder *json.Encoder) error {
		for i := range events {
			if err := encoder.Encode(&events[i]); err != nil {
				return err
			}
		}
		return nil
	})
}
