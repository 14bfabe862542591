package bench

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/wheatroad/wheatroad/internal/emulator"
)

func newExploreCommand() *cobra.Command {
	var options emulator.ExploreOptions
	command := &cobra.Command{
		Use:     "explore",
		Short:   "Explore all combinations of lost, delayed and rejected writes with a paused owner",
		Example: "  wheatroad-bench explore --writes 4 --orders 8",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			report, err := emulator.Explore(options)
			if err != nil {
				return err
			}
			if err := json.NewEncoder(command.OutOrStdout()).Encode(report); err != nil {
				return err
			}
			if len(report.Breaks) > 0 {
				return errors.Wrap(ErrInvariantViolated, report.First)
			}
			return nil
		},
	}
	flags := command.Flags()
	flags.IntVar(&options.Writes, "writes", 4, "number of job writes for which every combination of outcomes is explored")
	flags.IntVar(&options.Orders, "orders", 8, "number of worker orders; the owner is paused after each of them in a separate run")
	flags.StringVar(&options.Without, "without", "", "mechanism to disable")
	return command
}
