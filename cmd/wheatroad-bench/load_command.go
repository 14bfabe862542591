package main

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/wheatroad/wheatroad/internal/features"
	"github.com/wheatroad/wheatroad/internal/loadsim"
	"github.com/wheatroad/wheatroad/internal/mechanism"
)

type loadFlags struct {
	loads        []string
	disabledSets []string
	policies     []string
	firstSeed    uint64
	seeds        int
	takeoverAt   float64
}

func newLoadCommand() *cobra.Command {
	flags := &loadFlags{}
	command := &cobra.Command{
		Use:   "load",
		Short: "Simulate peak load on a pool's owner in virtual time and compare scheduler variants",
		Long: `Simulates bursty arrivals at a pool's owner in virtual time, with the same seeds for each variant, and
prints each variant's utility: means over the seeds with 95% confidence intervals. The first variant has
all mechanisms; each --without adds a variant with some of them disabled, and each --policy one with an
optional policy in use. All others play without the optional policies. Loads with
tenants also tell the worth of the mean tenant and of the worst-served tenth, with gains in brackets.`,
		Example: "  wheatroad-bench load --seeds 20 --without pressure --without pressure,headroom\n  wheatroad-bench load --load tenant-burst --policy tenant-sharing",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return runLoad(command.OutOrStdout(), flags)
		},
	}
	command.Flags().StringArrayVar(&flags.loads, "load", nil, "load to simulate, repeatable (default all)")
	command.Flags().StringArrayVar(&flags.disabledSets, "without", nil, "add a variant without these mechanisms (comma-separated); repeatable")
	command.Flags().StringArrayVar(&flags.policies, "policy", nil, "add a variant with this optional policy (tenant-sharing); repeatable")
	command.Flags().Uint64Var(&flags.firstSeed, "seed", 1, "first seed")
	command.Flags().IntVar(&flags.seeds, "seeds", 10, "number of seeds")
	command.Flags().Float64Var(&flags.takeoverAt, "takeover", 0, "add variants in which another owner takes over after this many seconds, with and without what the former one kept")
	return command
}

func runLoad(out io.Writer, flags *loadFlags) error {
	if flags.seeds < 2 {
		return errors.New("--seeds must be at least 2")
	}
	variants := []loadsim.Variant{{Name: "all", Features: features.AllOff()}}
	for _, names := range flags.disabledSets {
		disabled, err := mechanism.ParseDisabled(strings.Split(names, ","))
		if err != nil {
			return errors.Wrap(err, "--without")
		}
		variants = append(variants, loadsim.Variant{Name: "without " + names, Features: features.AllOff(), DisabledMechanisms: disabled})
	}
	for _, name := range flags.policies {
		settings, err := features.Only(name)
		if err != nil {
			return errors.Wrap(err, "--policy")
		}
		variants = append(variants, loadsim.Variant{Name: "with " + name, Features: settings})
	}
	variants = append(variants, takeoverVariants(flags.takeoverAt)...)
	loads, err := selectLoads(flags.loads)
	if err != nil {
		return err
	}
	for i := range loads {
		printComparison(out, &loads[i], loadsim.Compare(&loads[i], variants, flags.firstSeed, flags.seeds, runtime.NumCPU()))
	}
	return nil
}

// takeoverVariants returns the variants with a takeover after the given number of seconds; none if it
// is 0.
func takeoverVariants(seconds float64) []loadsim.Variant {
	if seconds <= 0 {
		return nil
	}
	at := time.Duration(seconds * float64(time.Second))
	return []loadsim.Variant{
		{Name: "takeover", TakeoverAt: at},
		{Name: "takeover without " + string(mechanism.KeptKnowledge), TakeoverAt: at, DisabledMechanisms: mechanism.Disabled{mechanism.KeptKnowledge: true}},
	}
}

// printTenants prints the gain of each class, the worth of the mean tenant and of the worst-served
// tenth with their gains, and the worth of each tenant.
func printTenants(out io.Writer, c *loadsim.Comparison) {
	fmt.Fprint(out, "    class gains")
	for _, gain := range c.ClassGains {
		fmt.Fprintf(out, " %+.3f +- %.3f", gain.Mean, gain.HalfWidth)
	}
	printGain(out, "mean tenant", c.MeanTenant, c.MeanTenantGain)
	printGain(out, "worst tenants", c.WorstTenants, c.WorstTenantsGain)
	fmt.Fprint(out, "\n    tenants")
	for _, worth := range c.Tenants {
		fmt.Fprintf(out, " %.3f", worth.Mean)
	}
	fmt.Fprintln(out)
}

func printGain(out io.Writer, name string, worth, gain loadsim.Estimate) {
	fmt.Fprintf(out, "; %s %.3f +- %.3f (%+.3f +- %.3f)", name, worth.Mean, worth.HalfWidth, gain.Mean, gain.HalfWidth)
}

func selectLoads(names []string) ([]loadsim.Load, error) {
	all := loadsim.Loads()
	if len(names) == 0 {
		return all, nil
	}
	var selected []loadsim.Load
	for _, name := range names {
		i := slices.IndexFunc(all, func(load loadsim.Load) bool { return load.Name == name })
		if i < 0 {
			return nil, errors.Newf("--load: unknown load %q", name)
		}
		selected = append(selected, all[i])
	}
	return selected, nil
}

func printComparison(out io.Writer, load *loadsim.Load, comparisons []loadsim.Comparison) {
	fmt.Fprintf(out, "%s: %d seeds\n", load.Name, len(comparisons[0].Results))
	fmt.Fprintf(out, "  %-44s %-15s %-15s %-8s %-15s", "way", "worth", "gain", "served", "given up")
	for _, class := range comparisons[0].Results[0].Classes {
		fmt.Fprintf(out, " %-8s", class.Name)
	}
	fmt.Fprintf(out, " %-12s %-10s %-14s", "stops/placed", "max stops", "wasted, core-s")
	fmt.Fprintln(out)
	for i := range comparisons {
		c := &comparisons[i]
		fmt.Fprintf(out, "  %-44s %.3f +- %.3f  %+.3f +- %.3f %.3f    %.3f +- %.3f  ", c.Variant.Name, c.ValueShare.Mean, c.ValueShare.HalfWidth,
			c.ValueGain.Mean, c.ValueGain.HalfWidth, c.Served.Mean, c.GivenUp.Mean, c.GivenUp.HalfWidth)
		for _, class := range c.Classes {
			fmt.Fprintf(out, " %-8.3f", class.Mean)
		}
		fmt.Fprintf(out, " %-12.3f %-10d %-14.0f", c.PreemptionRate.Mean, c.MaxPreemptions, c.LostCoreSeconds.Mean)
		fmt.Fprintln(out)
		if len(load.Tenants) > 0 {
			printTenants(out, c)
		}
		for _, result := range c.Results {
			for _, violation := range result.Violations {
				fmt.Fprintf(out, "    VIOLATION %s\n", violation)
			}
		}
	}
}
