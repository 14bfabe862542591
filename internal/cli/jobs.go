package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/wheatroad/wheatroad/internal/api"
	"github.com/wheatroad/wheatroad/internal/job"
	"github.com/wheatroad/wheatroad/internal/schedule"
)

func (a *app) submitCommand() *cobra.Command {
	var spec job.Spec
	var priority, spread, payloadFile string
	var once, wait bool
	command := &cobra.Command{
		Use:   "submit",
		Short: "Submit a job",
		Example: "  wheatroadctl submit --tenant vibration --members 4 --accelerators 8 --spread rack --duration 1h --wait\n" +
			"  wheatroadctl submit --id gearbox-17 --once --accelerators 1 --duration 10m",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if err := a.requireAddress(); err != nil {
				return err
			}
			spec.Priority, spec.Spread = job.Priority(priority), job.Spread(spread)
			if payloadFile != "" {
				content, err := os.ReadFile(payloadFile)
				if err != nil {
					return err
				}
				spec.Payload = string(content)
			}
			repeatable := !once
			return a.submit(command, api.SubmitRequest{Spec: spec, Repeatable: &repeatable}, wait)
		},
	}
	flags := command.Flags()
	flags.StringVar(&spec.ID, "id", "", "job identifier; makes retries of the submission idempotent")
	flags.StringVar(&spec.Tenant, "tenant", "", "tenant, for operators; otherwise the key's")
	flags.StringVar(&priority, "priority", "normal", "urgent, normal or low")
	flags.IntVar(&spec.Members, "members", 1, "members of the gang")
	flags.IntVar(&spec.Accelerators, "accelerators", 1, "accelerators per member")
	flags.IntVar(&spec.CPUs, "cpus", 1, "CPUs per member")
	flags.IntVar(&spec.MemoryGB, "memory-gb", 1, "memory per member, in GB")
	flags.StringVar(&spread, "spread", "zone", "keep all members within one rack, zone, region or any")
	duration := flags.Duration("duration", time.Hour, "estimated run time")
	flags.BoolVar(&spec.Checkpoint, "checkpoint", false, "the job supports checkpoints and resumes from the last one")
	flags.Float64Var(&spec.CheckpointSeconds, "checkpoint-seconds", 0, "duration of a checkpoint, in seconds")
	flags.BoolVar(&spec.Guaranteed, "guaranteed", false, "run under the tenant's capacity guarantee")
	flags.StringVar(&spec.Zone, "zone", "", "zone (region/zone) to run in")
	flags.StringVar(&spec.Payload, "payload", "", "opaque payload passed to the workers")
	flags.StringVar(&payloadFile, "payload-file", "", "file with the payload")
	flags.BoolVar(&once, "once", false, "never run more than once")
	flags.BoolVar(&wait, "wait", false, "wait for the job to end and print its state changes")
	command.PreRun = func(*cobra.Command, []string) { spec.Duration = duration.Seconds() }
	return command
}

func (a *app) submit(command *cobra.Command, request api.SubmitRequest, wait bool) error {
	record := &job.Record{}
	if err := a.client.call(command.Context(), http.MethodPost, "/v1/jobs", request, record); err != nil {
		return err
	}
	if wait {
		return a.follow(command, record)
	}
	return a.showRecord(command, record)
}

// followPollTimeout is how long one request of follow waits for the job's end.
const followPollTimeout = 20 * time.Second

// follow waits for a job to end and prints each state change.
func (a *app) follow(command *cobra.Command, record *job.Record) error {
	state := record.State
	fmt.Fprintf(command.ErrOrStderr(), "%s %s\n", record.Spec.ID, state)
	path := jobPath(record.Spec.Tenant, record.Spec.ID) + "?wait=" + followPollTimeout.String()
	for !record.State.Terminal() {
		record = &job.Record{}
		if err := a.client.call(command.Context(), http.MethodGet, path, nil, record); err != nil {
			return err
		}
		if record.State != state {
			state = record.State
			fmt.Fprintf(command.ErrOrStderr(), "%s %s\n", record.Spec.ID, state)
		}
	}
	if err := a.showRecord(command, record); err != nil {
		return err
	}
	if record.State != job.Finished {
		return &JobFailedError{record}
	}
	return nil
}

func (a *app) statusCommand() *cobra.Command {
	var wait bool
	command := &cobra.Command{
		Use:     "status TENANT JOB",
		Short:   "Show a job",
		Example: "  wheatroadctl status vibration gearbox-17 --wait",
		Args:    cobra.ExactArgs(2),
		RunE: func(command *cobra.Command, args []string) error {
			record, err := a.fetchRecord(command.Context(), args)
			if err != nil {
				return err
			}
			if wait {
				return a.follow(command, record)
			}
			return a.showRecord(command, record)
		},
	}
	command.Flags().BoolVar(&wait, "wait", false, "wait for the job to end and print its state changes")
	return command
}

func (a *app) fetchRecord(ctx context.Context, args []string) (*job.Record, error) {
	if err := a.requireAddress(); err != nil {
		return nil, err
	}
	record := &job.Record{}
	err := a.client.call(ctx, http.MethodGet, jobPath(args[0], args[1]), nil, record)
	return record, err
}

func (a *app) listCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   "List queued, running and recently ended jobs",
		Example: "  wheatroadctl list -o json",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if err := a.requireAddress(); err != nil {
				return err
			}
			var answer struct {
				Jobs []*job.Record `json:"jobs"`
			}
			if err := a.client.call(command.Context(), http.MethodGet, "/v1/jobs", nil, &answer); err != nil {
				return err
			}
			return a.showRecords(command, answer.Jobs)
		},
	}
}

func (a *app) resultCommand() *cobra.Command {
	member := -1
	command := &cobra.Command{
		Use:     "result TENANT JOB",
		Short:   "Write a finished job's output to standard output",
		Example: "  wheatroadctl result vibration gearbox-17 > report",
		Args:    cobra.ExactArgs(2),
		RunE: func(command *cobra.Command, args []string) error {
			if err := a.requireAddress(); err != nil {
				return err
			}
			path := jobPath(args[0], args[1]) + "/result"
			if member >= 0 {
				path += fmt.Sprintf("?member=%d", member)
			}
			content, err := a.client.do(command.Context(), http.MethodGet, path, nil)
			if err != nil {
				return err
			}
			_, err = command.OutOrStdout().Write(content)
			return err
		},
	}
	command.Flags().IntVar(&member, "member", -1, "only this member's output")
	return command
}

func (a *app) cancelCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "cancel TENANT JOB",
		Short:   "Cancel a job",
		Example: "  wheatroadctl cancel vibration gearbox-17",
		Args:    cobra.ExactArgs(2),
		RunE: func(command *cobra.Command, args []string) error {
			if err := a.requireAddress(); err != nil {
				return err
			}
			record := &job.Record{}
			if err := a.client.call(command.Context(), http.MethodDelete, jobPath(args[0], args[1]), nil, record); err != nil {
				return err
			}
			return a.showRecord(command, record)
		},
	}
}

func (a *app) explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "explain TENANT JOB",
		Short:   "Show why a job is queued, what it waits for and its expected start",
		Example: "  wheatroadctl explain vibration gearbox-17",
		Args:    cobra.ExactArgs(2),
		RunE: func(command *cobra.Command, args []string) error {
			if err := a.requireAddress(); err != nil {
				return err
			}
			var explanation schedule.Explanation
			if err := a.client.call(command.Context(), http.MethodGet, jobPath(args[0], args[1])+"/explain", nil, &explanation); err != nil {
				return err
			}
			return a.show(command, explanation, func(w *tabwriter.Writer) {
				fmt.Fprintf(w, "state\t%s\nreason\t%s\njobs ahead\t%d\n", explanation.State, explanation.Reason, explanation.Ahead)
				if len(explanation.WaitsFor) > 0 {
					fmt.Fprintf(w, "waits for\t%v\n", explanation.WaitsFor)
				}
				if !explanation.ExpectedStart.IsZero() {
					fmt.Fprintf(w, "expected start\t%s\n", explanation.ExpectedStart.Format(time.RFC3339))
				}
			})
		},
	}
}

// show prints a response as JSON, or as a table with printTable.
func (a *app) show(command *cobra.Command, answer any, printTable func(*tabwriter.Writer)) error {
	if a.output == "json" {
		encoder := json.NewEncoder(command.OutOrStdout())
		encoder.SetIndent("", "  ")
		return encoder.Encode(answer)
	}
	const padding = 2
	writer := tabwriter.NewWriter(command.OutOrStdout(), 0, 0, padding, ' ', 0)
	printTable(writer)
	return writer.Flush()
}

func (a *app) showRecord(command *cobra.Command, record *job.Record) error {
	if a.output == "json" {
		return a.show(command, record, nil)
	}
	return a.showRecords(command, []*job.Record{record})
}

func (a *app) showRecords(command *cobra.Command, records []*job.Record) error {
	return a.show(command, records, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "TENANT\tJOB\tPRIORITY\tSHAPE\tDOMAIN\tSTATE\tATTEMPT\tOUTCOME\tREASON\tPLACEMENT")
		for _, r := range records {
			shape := fmt.Sprintf("%dx%d/%s", r.Spec.Members, r.Spec.Accelerators, r.Spec.Spread)
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\n", r.Spec.Tenant, r.Spec.ID, r.Spec.Priority, shape,
				r.Domain, r.State, r.Attempt, r.Outcome, r.Reason, formatPlacement(r.Placement))
		}
	})
}

// maxPlacementWorkers is the maximum number of workers that a table row lists.
const maxPlacementWorkers = 2

func formatPlacement(placement []job.Assignment) string {
	text := ""
	for i, assignment := range placement {
		if i == maxPlacementWorkers {
			return text + fmt.Sprintf(" +%d", len(placement)-i)
		}
		if i > 0 {
			text += " "
		}
		text += assignment.Worker
	}
	return text
}
