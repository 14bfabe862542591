package cli

import (
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/wheatroad/wheatroad/internal/losses"
)

func newLossesCommand() *cobra.Command {
	var jobs bool
	command := &cobra.Command{
		Use:     "losses [LOGFILE...]",
		Short:   "Report late and rejected jobs, their main causes and wasted work from nodes' logs",
		Long:    "Reads the log lines of all nodes from files or from standard input.",
		Example: "  wheatroadctl losses --jobs node-1.log node-2.log",
		RunE: func(command *cobra.Command, args []string) error {
			log := losses.New()
			if len(args) == 0 {
				if err := log.Read(command.InOrStdin()); err != nil {
					return errors.Wrap(err, "reading log lines from standard input")
				}
			}
			for _, name := range args {
				if err := readLosses(log, name); err != nil {
					return err
				}
			}
			return log.Summarize().Print(command.OutOrStdout(), jobs)
		},
	}
	command.Flags().BoolVar(&jobs, "jobs", false, "list each late or rejected job")
	return command
}

func readLosses(log *losses.Log, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	return errors.Wrap(log.Read(file), name)
}
