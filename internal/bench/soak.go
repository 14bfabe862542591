package bench

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/wheatroad/wheatroad/internal/emulator"
	"github.com/wheatroad/wheatroad/internal/fault"
)

// ErrInvariantViolated is returned when a run violates an invariant.
var ErrInvariantViolated = errors.New("invariant violated")

func newSoakCommand() *cobra.Command {
	var seed uint64
	var hours, jobsPerHour float64
	var disabledMechanism, rates string
	var listMechanisms, verbose bool
	var followedJob string
	command := &cobra.Command{
		Use:   "soak --seed N --hours H",
		Short: "Simulate a system with fault injection and check its invariants",
		Example: "  wheatroad-bench soak --seed 7 --hours 2\n" +
			"  wheatroad-bench soak --seed 7 --hours 2 --without operation_markers",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if listMechanisms {
				for _, name := range emulator.MechanismNames() {
					fmt.Fprintln(command.OutOrStdout(), name)
				}
				return nil
			}
			options := emulator.DefaultSoak(seed, hours)
			options.CountBytes = true
			options.Load.JobsPerHour = jobsPerHour
			switch rates {
			case "heavy":
			case "none":
				options.Rates = nil
			case "stops":
				options.Rates = emulator.StopRates()
			case "plan":
				options.Rates = emulator.PlanRates(24, options.Nodes)
			default:
				return fault.NewField(fault.InvalidRequest, "rates", "must be heavy, plan, stops or none")
			}
			if disabledMechanism != "" {
				if err := options.Without(disabledMechanism); err != nil {
					return err
				}
			}
			if followedJob != "" {
				options.Log = func(at time.Time, node, message string) {
					fmt.Fprintf(command.ErrOrStderr(), "%s %s %s\n", at.Format("15:04:05.000"), node, message)
				}
				options.Follow = followedJob
			}
			return runSoak(command, options, verbose)
		},
	}
	flags := command.Flags()
	flags.Uint64Var(&seed, "seed", 1, "seed")
	flags.Float64Var(&hours, "hours", 2, "virtual hours")
	flags.StringVar(&rates, "rates", "heavy", "fault rates: heavy, plan (the design size's rates, scaled to the simulated size), stops (planned stops and a slow store) or none")
	flags.Float64Var(&jobsPerHour, "jobs-per-hour", 400, "submissions")
	flags.StringVar(&disabledMechanism, "without", "", "mechanism to disable")
	flags.BoolVar(&listMechanisms, "list-mechanisms", false, "list the mechanisms that --without accepts")
	flags.StringVar(&followedJob, "follow", "", "print the events of this job and every state change of the nodes")
	flags.BoolVar(&verbose, "verbose", false, "print every invariant violation")
	return command
}

func runSoak(command *cobra.Command, options emulator.SoakOptions, verbose bool) error {
	report, violations := emulator.Soak(options)
	if err := json.NewEncoder(command.OutOrStdout()).Encode(report); err != nil {
		return err
	}
	if verbose {
		for _, violation := range violations {
			fmt.Fprintf(command.ErrOrStderr(), "%s %s %s\n", violation.At.Format("15:04:05.000"), violation.Promise, violation.Detail)
		}
	}
	if len(violations) > 0 {
		return errors.Wrapf(ErrInvariantViolated, "%s, seed %d", violations[0].Promise, options.Seed)
	}
	return nil
}
