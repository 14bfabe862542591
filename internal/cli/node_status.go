package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/wheatroad/wheatroad/internal/node"
	"github.com/wheatroad/wheatroad/internal/pool"
)

// statusTimeout is the timeout of the request to one node.
const statusTimeout = 5 * time.Second

func newNodeStatusCommand() *cobra.Command {
	var asJSON bool
	command := &cobra.Command{
		Use:     "node-status METRICS-ADDRESS...",
		Short:   "Show the status of platform nodes: configuration, store, owners and pools",
		Example: "  wheatroadctl node-status 10.1.0.19:9464 10.2.0.35:9464",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			var combined error
			for _, address := range args {
				status, err := fetchStatus(command.Context(), address)
				if err != nil {
					combined = errors.CombineErrors(combined, errors.Wrap(err, address))
					continue
				}
				if err := printStatus(command.OutOrStdout(), status, asJSON); err != nil {
					return err
				}
			}
			return combined
		},
	}
	command.Flags().BoolVar(&asJSON, "json", false, "print one JSON object per node and line")
	return command
}

func fetchStatus(ctx context.Context, address string) (*node.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("GET /status returned HTTP status %d", response.StatusCode)
	}
	status := &node.Status{}
	return status, json.NewDecoder(response.Body).Decode(status)
}

// printTenants prints one line for each tenant. Shares are percentages of the pool.
func printTenants(text *strings.Builder, tenants []pool.TenantStatus) {
	for i := range tenants {
		t := &tenants[i]
		fmt.Fprintf(text, "      tenant %s: due %.1f%%, holds %.1f%%, used lately %.1f%%, credit %+.1f%%, waiting units %d, longest wait %d ms\n",
			t.Tenant, 100*t.Due, 100*t.Held, 100*t.Used, 100*t.Credit, t.WaitingUnits, t.LongestWaitMillis)
	}
}

func printStatus(out io.Writer, status *node.Status, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(out).Encode(status)
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%s: version %s, ready %v, configuration %d (confirmed current %d ms ago), last store response %d ms ago, store lost %v, %d members, evacuated zones %v\n",
		status.Name, status.Version, status.Ready, status.ConfigurationVersion, status.ConfigurationAgeMillis, status.StoreAgeMillis, status.StoreLost, len(status.Members),
		status.EvacuatedZones)
	fmt.Fprintf(&text, "  known members by version: %v\n", status.MemberVersions)
	for i := range status.Pools {
		p := &status.Pools[i]
		fmt.Fprintf(&text, "  pool %s: owner %s, token %d, unanswered pings %d\n", p.Pool, p.Owner, p.Token, p.OwnerFailures)
		if o := p.Owned; o != nil {
			fmt.Fprintf(&text, "    owned here: jobs %v, waiting units %d, runs %d, workers %d (unusable %d, slow %d, unresponsive %d, failing %d), tasks suspected of crashes %d, ownership confirmed %d ms ago\n",
				o.Jobs, o.WaitingUnits, o.Runs, o.Workers, o.Unusable, o.Slow, o.Unresponsive, o.SuspectedWorkers, o.Suspects, o.SinceOwnershipConfirmedMillis)
			fmt.Fprintf(&text, "    evacuated zones %v (read %d ms ago, recent enough to start work %v): %d runs in them, %d units wait for them\n",
				o.EvacuatedZones, o.EvacuationsAgeMillis, o.EvacuationsFresh, o.RunsInEvacuatedZones, o.WaitingForZones)
			fmt.Fprintf(&text, "    policies: tenant sharing %v\n", o.Policies.TenantSharing)
			printTenants(&text, o.Tenants)
			fmt.Fprintf(&text, "    worker restarts %d, invalid worker rows %d\n", o.Restarts, o.InvalidWorkerRows)
			for _, restarted := range o.Restarted {
				fmt.Fprintf(&text, "      %s restarted %d times, last start %s, %d runs\n",
					restarted.Worker, restarted.Restarts, time.UnixMilli(restarted.StartMillis).UTC().Format(time.RFC3339Nano), restarted.Runs)
			}
		}
	}
	_, err := io.WriteString(out, text.String())
	return err
}
