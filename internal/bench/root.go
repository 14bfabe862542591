package bench

import (
	"github.com/spf13/cobra"
)

// NewCommand returns the wheatroad-bench command.
func NewCommand(version string) *cobra.Command {
	root := &cobra.Command{
		Use:           "wheatroad-bench",
		Short:         "Trace generation, replay and benchmarks for wheatroad",
		Version:       version,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newGenerateCommand(), newReplayCommand(), newSoakCommand(), newReportCommand(), newDecideCommand(), newExploreCommand(), newCapacityCommand())
	return root
}
