package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/wheatroad/wheatroad/internal/api"
	"github.com/wheatroad/wheatroad/internal/auth"
	"github.com/wheatroad/wheatroad/internal/blackboard"
	"github.com/wheatroad/wheatroad/internal/declaration"
	"github.com/wheatroad/wheatroad/internal/planning"
)

func readDeclaration(path string) (*declaration.Declaration, error) {
	return declaration.ReadDir(os.DirFS(path))
}

func (a *app) makePlan(ctx context.Context, declared *declaration.Declaration) (*planning.Plan, error) {
	if err := a.requireAddress(); err != nil {
		return nil, err
	}
	plan := &planning.Plan{}
	err := a.client.call(ctx, http.MethodPost, "/v1/plans", declared, plan)
	return plan, err
}

func (a *app) planCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "plan FOLDER",
		Short:   "Show what a folder of declarations would change",
		Example: "  wheatroadctl plan declarations/",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			declared, err := readDeclaration(args[0])
			if err != nil {
				return err
			}
			plan, err := a.makePlan(command.Context(), declared)
			if err != nil {
				return err
			}
			return a.showPlan(command, plan)
		},
	}
}

// changeSign returns the diff marker of a change.
func changeSign(action string) string {
	switch action {
	case "add":
		return "+"
	case "remove":
		return "-"
	default:
		return "~"
	}
}

func (a *app) showPlan(command *cobra.Command, plan *planning.Plan) error {
	return a.show(command, plan, func(w *tabwriter.Writer) {
		fmt.Fprintf(w, "plan\t%s\nbase version\t%d\n", plan.Digest, plan.BaseVersion)
		for _, change := range plan.Changes {
			fmt.Fprintf(w, "%s %s\t%s\n", changeSign(change.Action), change.Subject, change.Detail)
		}
		if len(plan.Changes) == 0 {
			fmt.Fprintln(w, "no changes")
		}
		for _, effect := range slices.Concat(plan.Effects, plan.Impact) {
			fmt.Fprintf(w, "  %s\t%s: %s\n", effect.Kind, effect.Subject, effect.Detail)
		}
	})
}

func (a *app) confirmCommand() *cobra.Command {
	var base int64
	command := &cobra.Command{
		Use:     "confirm DIGEST --base VERSION",
		Short:   "Apply a plan and wait until all nodes use it",
		Example: "  wheatroadctl confirm 5f3c... --base 12",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			if err := a.requireAddress(); err != nil {
				return err
			}
			return a.confirm(command, args[0], base)
		},
	}
	command.Flags().Int64Var(&base, "base", 0, "base version of the plan")
	return command
}

// rolloutTimeout is how long confirm waits until all nodes use the new configuration.
const rolloutTimeout = 20 * time.Second

func (a *app) confirm(command *cobra.Command, digest string, base int64) error {
	var response api.ConfirmResponse
	if err := a.client.call(command.Context(), http.MethodPost, "/v1/plans/"+digest+"/confirm", api.ConfirmRequest{Base: base}, &response); err != nil {
		return err
	}
	var answer api.ConfigurationResponse
	path := fmt.Sprintf("/v1/configuration?version=%d&wait=%s", response.Version, rolloutTimeout)
	if err := a.client.call(command.Context(), http.MethodGet, path, nil, &answer); err != nil {
		return err
	}
	if !answer.Applied {
		return fmt.Errorf("version %d is confirmed, but not in force on all %d nodes yet", response.Version, len(answer.Members))
	}
	return a.show(command, response, func(w *tabwriter.Writer) {
		fmt.Fprintf(w, "version %d is in force on all %d nodes\n", response.Version, len(answer.Members))
	})
}

func (a *app) applyCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "apply FOLDER",
		Short:   "Plan a folder of declarations, show the plan, confirm it and wait",
		Example: "  wheatroadctl apply declarations/",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			declared, err := readDeclaration(args[0])
			if err != nil {
				return err
			}
			return a.planAndConfirm(command, declared)
		},
	}
}

func (a *app) planAndConfirm(command *cobra.Command, declared *declaration.Declaration) error {
	plan, err := a.makePlan(command.Context(), declared)
	if err != nil {
		return err
	}
	if err := a.showPlan(command, plan); err != nil || len(plan.Changes) == 0 {
		return err
	}
	return a.confirm(command, plan.Digest, plan.BaseVersion)
}

func (a *app) drainCommand() *cobra.Command {
	var undo, confirm bool
	command := &cobra.Command{
		Use:     "drain REGION/ZONE/RACK",
		Short:   "Plan to drain a rack; --confirm applies the plan",
		Example: "  wheatroadctl drain muscat/hall1/rack00 --confirm",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			var current api.ConfigurationResponse
			if err := a.requireAddress(); err != nil {
				return err
			}
			if err := a.client.call(command.Context(), http.MethodGet, "/v1/configuration", nil, &current); err != nil {
				return err
			}
			declared := current.Declaration
			declared.DrainedRacks = slices.DeleteFunc(declared.DrainedRacks, func(rack string) bool { return rack == args[0] })
			if !undo {
				declared.DrainedRacks = append(declared.DrainedRacks, args[0])
			}
			if confirm {
				return a.planAndConfirm(command, &declared)
			}
			plan, err := a.makePlan(command.Context(), &declared)
			if err != nil {
				return err
			}
			return a.showPlan(command, plan)
		},
	}
	command.Flags().BoolVar(&undo, "undo", false, "remove the drain")
	command.Flags().BoolVar(&confirm, "confirm", false, "confirm the plan")
	return command
}

func (a *app) configurationCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "configuration",
		Short:   "Show the configuration in force and each node's version",
		Example: "  wheatroadctl configuration -o json",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if err := a.requireAddress(); err != nil {
				return err
			}
			var answer api.ConfigurationResponse
			if err := a.client.call(command.Context(), http.MethodGet, "/v1/configuration", nil, &answer); err != nil {
				return err
			}
			return a.show(command, answer, func(w *tabwriter.Writer) {
				fmt.Fprintf(w, "version\t%d\nin force everywhere\t%t\n", answer.Version, answer.Applied)
				printMembers(w, answer.Members)
				for _, tenant := range answer.Declaration.Tenants {
					for _, g := range tenant.Guarantees {
						fmt.Fprintf(w, "guarantee\t%s\t%d x %dx%d/%s in %s\n", tenant.Name, g.Count, g.Members, g.Accelerators, g.Spread, g.Domain)
					}
				}
			})
		},
	}
}

func printMembers(w io.Writer, members []blackboard.Member) {
	for _, member := range members {
		fmt.Fprintf(w, "node\t%s\t%s\t%s\tversion %d\n", member.Node, member.Zone, member.State, member.Configuration)
	}
}

func (a *app) domainsCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "domains",
		Short:   "Show the scheduling domains, their owners and queues",
		Example: "  wheatroadctl domains",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if err := a.requireAddress(); err != nil {
				return err
			}
			var answer struct {
				Domains []api.DomainResponse `json:"domains"`
				Members []blackboard.Member  `json:"members"`
			}
			if err := a.client.call(command.Context(), http.MethodGet, "/v1/domains", nil, &answer); err != nil {
				return err
			}
			return a.show(command, answer, func(w *tabwriter.Writer) {
				fmt.Fprintln(w, "DOMAIN\tOWNER\tEPOCH\tACTIVE\tMACHINES\tFREE\tACCELERATORS\tQUEUED\tRUNNING\tWITNESS MISSING")
				for _, d := range answer.Domains {
					s := d.Lease.Summary
					fmt.Fprintf(w, "%s\t%s\t%d\t%t\t%d\t%d\t%d\t%d\t%d\t%d\n", d.Name, d.Lease.Owner, d.Lease.Epoch, d.Lease.Active,
						d.Machines, s.FreeAccelerators, s.Accelerators, s.QueuedJobs, s.RunningJobs, s.UnplacedGuaranteed)
				}
				printMembers(w, answer.Members)
			})
		},
	}
}

func validateCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "validate FOLDER",
		Short:   "Check a folder of declarations without a server",
		Example: "  wheatroadctl validate declarations/",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			if _, err := readDeclaration(args[0]); err != nil {
				return err
			}
			fmt.Fprintln(command.OutOrStdout(), "ok")
			return nil
		},
	}
}

func keyCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "key",
		Short:   "Generate an access key and print it with its hash for the declaration",
		Example: "  wheatroadctl key",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			key := auth.NewKey()
			fmt.Fprintf(command.OutOrStdout(), "key   %s\nhash  %s\n", key, auth.HashKey(key))
			return nil
		},
	}
}
