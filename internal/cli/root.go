package cli

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/spf13/cobra"

	"github.com/wheatroad/wheatroad/internal/fault"
	"github.com/wheatroad/wheatroad/internal/job"
)

// Exit statuses. Scripts depend on their values.
const (
	ExitOK = iota
	// ExitFailure means an error without a more specific status.
	ExitFailure
	// ExitUsage means invalid input.
	ExitUsage
	// ExitRetry means that the daemon asked the caller to retry later.
	ExitRetry
	// ExitJobFailed means that the job ended without finishing.
	ExitJobFailed
	// ExitUnknown means that the request may have taken effect.
	ExitUnknown
)

// Profile holds the addresses and the access key of one cluster.
type Profile struct {
	Addresses []string `toml:"addresses"`
	Key       string   `toml:"key"`
}

// app holds the flags and the client that all commands share.
type app struct {
	addresses   []string
	key         string
	profile     string
	profileFile string
	output      string
	deadline    time.Duration
	client      *Client
}

// New returns the wheatroadctl command.
func New(version string) *cobra.Command {
	a := &app{}
	root := &cobra.Command{
		Use: "wheatroadctl", Short: "Submit jobs to wheatroad and manage its declared configuration",
		Version: version, SilenceUsage: true, SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error { return a.configureClient() },
	}
	flags := root.PersistentFlags()
	flags.StringSliceVar(&a.addresses, "address", nil, "daemon addresses, tried in order (or WHEATROAD_ADDRESS)")
	flags.StringVar(&a.key, "key", "", "access key (or WHEATROAD_KEY)")
	flags.StringVar(&a.profile, "profile", "", "profile to take addresses and key from")
	flags.StringVar(&a.profileFile, "profile-file", defaultProfileFile(), "TOML file with profiles")
	flags.StringVarP(&a.output, "output", "o", "table", "json or table")
	flags.DurationVar(&a.deadline, "deadline", 30*time.Second, "how long one request may take")
	root.AddCommand(newTraceCommand(), newLossesCommand(), newNodeStatusCommand(),
		a.submitCommand(), a.statusCommand(), a.listCommand(), a.resultCommand(), a.cancelCommand(), a.explainCommand(),
		a.planCommand(), a.confirmCommand(), a.applyCommand(), a.drainCommand(), a.configurationCommand(), a.domainsCommand(),
		validateCommand(), keyCommand(),
	)
	return root
}

func defaultProfileFile() string {
	folder, err := os.UserConfigDir()
	if err != nil {
		return ""
	}
	return filepath.Join(folder, "wheatroad", "profiles.toml")
}

// configureClient creates the client. The addresses and the key come from the flags, the
// environment or the profile, in this order of precedence.
func (a *app) configureClient() error {
	if a.output != "json" && a.output != "table" {
		return fault.NewField(fault.InvalidRequest, "output", "must be json or table")
	}
	if len(a.addresses) == 0 && os.Getenv("WHEATROAD_ADDRESS") != "" {
		a.addresses = strings.Split(os.Getenv("WHEATROAD_ADDRESS"), ",")
	}
	if a.key == "" {
		a.key = os.Getenv("WHEATROAD_KEY")
	}
	if a.profile != "" {
		if err := a.useProfile(); err != nil {
			return err
		}
	}
	for i, address := range a.addresses {
		if !strings.Contains(address, "://") {
			a.addresses[i] = "http://" + address
		}
	}
	a.client = &Client{addresses: a.addresses, key: a.key, http: &http.Client{}, deadline: a.deadline}
	return nil
}

func (a *app) useProfile() error {
	profiles := map[string]Profile{}
	if _, err := toml.DecodeFile(a.profileFile, &profiles); err != nil {
		return fault.NewField(fault.InvalidRequest, "profile-file", "%s", err.Error())
	}
	profile, ok := profiles[a.profile]
	if !ok {
		return fault.NewField(fault.InvalidRequest, "profile", "%q is not in %s", a.profile, a.profileFile)
	}
	if len(a.addresses) == 0 {
		a.addresses = profile.Addresses
	}
	if a.key == "" {
		a.key = profile.Key
	}
	return nil
}

// requireAddress returns an error if no daemon address is configured.
func (a *app) requireAddress() error {
	if len(a.addresses) == 0 {
		return fault.NewField(fault.InvalidRequest, "address", "no daemon address: set --address, WHEATROAD_ADDRESS or --profile")
	}
	return nil
}

// JobFailedError reports a job that ended without finishing.
type JobFailedError struct{ Record *job.Record }

// Error formats the job's final state.
func (e *JobFailedError) Error() string {
	return fmt.Sprintf("job %s is %s (%s, outcome: %s)", e.Record.Spec.ID, e.Record.State, e.Record.Reason, e.Record.Outcome)
}

// ExitStatus returns the exit status for an error of a command.
func ExitStatus(err error) int {
	var response *ResponseError
	var invalidInput *fault.Error
	var jobFailed *JobFailedError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &jobFailed):
		return ExitJobFailed
	case errors.As(err, &response):
		return responseExitStatus(response)
	case errors.As(err, &invalidInput):
		return ExitUsage
	default:
		return ExitFailure
	}
}

func responseExitStatus(answer *ResponseError) int {
	switch {
	case answer.Answer.Outcome == fault.MayHaveRun:
		return ExitUnknown
	case answer.Answer.RetryAfterSeconds > 0:
		return ExitRetry
	case answer.Status < http.StatusInternalServerError:
		return ExitUsage
	default:
		return ExitFailure
	}
}
