package bench

import (
	"bufio"
	"encoding/json"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/wheatroad/wheatroad/internal/fault"
	"github.com/wheatroad/wheatroad/internal/trace"
	"github.com/wheatroad/wheatroad/internal/workload"
)

func newGenerateCommand() *cobra.Command {
	var clusterPath, outputPath, bursts string
	options := workload.Options{}
	command := &cobra.Command{
		Use:     "generate --cluster C.toml --out T.jsonl",
		Short:   "Generate a trace from a seed",
		Example: "  wheatroad-bench generate --cluster site.toml --load 0.9 --hours 72 --seed 1 --out trace.jsonl",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			options.Bursts = workload.BurstKind(bursts)
			return generate(clusterPath, outputPath, options)
		},
	}
	flags := command.Flags()
	flags.StringVar(&clusterPath, "cluster", "", "cluster file")
	flags.StringVar(&outputPath, "out", "", "trace file to write; empty writes to standard output")
	flags.StringVar(&bursts, "bursts", "mixed", "kind of bursts: small, large or mixed")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed")
	flags.Float64Var(&options.Load, "load", 0.9, "requested accelerator-seconds divided by available accelerator-seconds")
	flags.Float64Var(&options.Hours, "hours", 72, "length of the trace in hours")
	flags.BoolVar(&options.Failures, "failures", true, "include failures of machines, racks and zones")
	flags.IntVar(&options.JobsPerDay, "jobs-per-day", 0, "number of jobs per day; run times are scaled to reach the load; 0 derives it from the load")
	return command
}

func generate(clusterPath, outputPath string, options workload.Options) error {
	switch options.Bursts {
	case workload.SmallBursts, workload.LargeBursts, workload.MixedBursts:
	default:
		return fault.NewField(fault.InvalidRequest, "bursts", "must be small, large or mixed")
	}
	if options.Load <= 0 || options.Hours <= 0 || options.JobsPerDay < 0 {
		return fault.NewField(fault.InvalidRequest, "load", "load and hours must be positive and jobs-per-day must not be negative")
	}
	c, err := trace.ReadCluster(clusterPath)
	if err != nil {
		return err
	}
	if len(c.Tenant) == 0 {
		return fault.NewField(fault.InvalidRequest, "tenant", "the cluster file declares no tenant; a trace needs at least one")
	}
	lines := workload.Generate(c, options)
	return writeLines(outputPath, func(encoder *json.Encoder) error {
		for i := range lines {
			if err := encoder.Encode(&lines[i]); err != nil {
				return err
			}
		}
		return nil
	})
}

// writeLines writes JSON lines to the file at path, or to standard output if path is empty.
func writeLines(path string, write func(*json.Encoder) error) error {
	var output io.Writer = os.Stdout
	if path != "" {
		file, err := os.Create(path)
		if err != nil {
			return fault.New(fault.InvalidRequest, "%s", err.Error())
		}
		defer file.Close()
		output = file
	}
	buffered := bufio.NewWriter(output)
	if err := write(json.NewEncoder(buffered)); err != nil {
		return err
	}
	return buffered.Flush()
}
