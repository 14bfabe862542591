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
		Short:   "Search all combinations of lost, late and refused writes with a frozen owner",
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
	flags.IntVar(&options.Writes, "writes", 4, "writes about jobs that get every combination of fates")
	flags.IntVar(&options.Orders, "orders", 8, "orders to workers after which the owner is frozen, one at a time")
	flags.StringVar(&options.Without, "without", "", "mechanism to turn off")
	return command
}
