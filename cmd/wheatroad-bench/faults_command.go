package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/wheatroad/wheatroad/internal/bench"
	"github.com/wheatroad/wheatroad/internal/soak"
)

type faultsFlags struct {
	binaries       string
	otherDaemon    string
	logs           string
	seed           uint64
	seeds          int
	seconds        float64
	processes      int
	callers        int
	workerRestarts bool
	queueMoves     bool
	noQueueMoves   bool
	asJSON         bool
	list           bool
}

func newFaultsCommand() *cobra.Command {
	flags := &faultsFlags{}
	command := &cobra.Command{
		Use:   "faults",
		Short: "Run daemons under injected faults and check invariants",
		Long: "Starts daemons as child processes against a fake platform, sends them signals, and cuts, delays and resets\n" +
			"their connections; the fake store and workers inject faults. Stops only processes that it started.\n" +
			"A failed seed keeps its logs and prints the command that reproduces it.",
		Example: "  wheatroad-bench faults --seed 1 --seeds 50 --seconds 15\n  wheatroad-bench faults --seed 7 --processes 12 --json",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if flags.list {
				for _, kind := range soak.Kinds() {
					fmt.Fprintln(command.OutOrStdout(), kind)
				}
				return nil
			}
			return runFaults(command.OutOrStdout(), flags)
		},
	}
	command.Flags().StringVar(&flags.binaries, "bin", "bin", "directory with the binaries")
	command.Flags().StringVar(&flags.otherDaemon, "other-daemon", "", "wheatroadd binary of another version; each start of a daemon draws one of the two")
	command.Flags().StringVar(&flags.logs, "logs", filepath.Join(os.TempDir(), "wheatroad-faults"), "directory for settings and logs")
	command.Flags().Uint64Var(&flags.seed, "seed", 1, "first seed")
	command.Flags().IntVar(&flags.seeds, "seeds", 1, "number of seeds to run in sequence")
	command.Flags().Float64Var(&flags.seconds, "seconds", 15, "duration of fault injection, in seconds")
	command.Flags().IntVar(&flags.processes, "processes", 3, "number of daemon processes")
	command.Flags().IntVar(&flags.callers, "callers", 4, "number of concurrent callers")
	command.Flags().BoolVar(&flags.workerRestarts, "lives", false, "restart workers under the same identifiers and write invalid worker rows, whatever the seed selects")
	command.Flags().BoolVar(&flags.queueMoves, "moves", false, "move the queue between pools, whatever the seed selects")
	command.Flags().BoolVar(&flags.noQueueMoves, "no-moves", false, "move the queue in no seed, as the versions before jobs were compared across pools need")
	command.Flags().BoolVar(&flags.asJSON, "json", false, "print each report as JSON")
	command.Flags().BoolVar(&flags.list, "list-kinds", false, "list the kinds of faults and exit")
	return command
}

func runFaults(out io.Writer, flags *faultsFlags) error {
	failed := 0
	for seed := flags.seed; seed < flags.seed+uint64(flags.seeds); seed++ {
		report, err := runSeed(flags, seed)
		if err != nil {
			return err
		}
		if err := printReport(out, flags, report); err != nil {
			return err
		}
		if len(report.Violations) > 0 {
			failed++
		}
	}
	if failed > 0 {
		return errors.Wrapf(bench.ErrInvariantViolated, "%d of %d seeds", failed, flags.seeds)
	}
	return nil
}

func runSeed(flags *faultsFlags, seed uint64) (*soak.Report, error) {
	folder, err := soak.CreateRunDirectory(flags.logs, seed)
	if err != nil {
		return nil, err
	}
	report, err := soak.Run(soak.Options{
		DaemonPath: filepath.Join(flags.binaries, "wheatroadd"), OtherDaemonPath: flags.otherDaemon, Seed: seed, Directory: folder,
		FaultDuration: time.Duration(flags.seconds * float64(time.Second)), Daemons: flags.processes, Callers: flags.callers, InstanceFaults: flags.workerRestarts,
		QueueMoves: flags.queueMoves, WithoutQueueMoves: flags.noQueueMoves,
	})
	if err == nil && len(report.Violations) == 0 {
		err = os.RemoveAll(folder)
	}
	return report, err
}

// maxPrintedViolations is the maximum number of violations printed per seed.
const maxPrintedViolations = 12

func printReport(out io.Writer, flags *faultsFlags, report *soak.Report) error {
	if flags.asJSON {
		return json.NewEncoder(out).Encode(report)
	}
	injected := 0
	for _, count := range report.Faults {
		injected += count
	}
	_, err := fmt.Fprintf(out, "seed %d: %d faults, jobs %v, violations %d\n", report.Seed, injected, report.States, len(report.Violations))
	for _, line := range report.Violations[:min(len(report.Violations), maxPrintedViolations)] {
		_, err = fmt.Fprintln(out, "  broken:", line)
	}
	if len(report.Violations) > 0 {
		_, err = fmt.Fprintf(out, "  logs in %s; reproduce with: wheatroad-bench faults --seed %d --seconds %g --processes %d --callers %d\n",
			report.Logs, report.Seed, flags.seconds, flags.processes, flags.callers)
	}
	return err
}
