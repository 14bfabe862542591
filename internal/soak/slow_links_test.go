package soak

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/catalog"
	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/rows"
	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
	"github.com/wheatroad/wheatroad/platform/standin"
)

const (
	// slowLink is the rate of a daemon's link to the store, in bytes per second.
	slowLink = 400_000
	// grownQueues makes the configuration row 1.8 MB, 2.4 MB in base64: six seconds over a slow
	// link.
	grownQueues = 9500
	// grownLimit is how long a daemon may take to apply a grown configuration: several times the
	// transfer.
	grownLimit = 40 * time.Second
	// unknownID is the identifier of a job that was never submitted.
	unknownID = "00000000000000ff"
	// newID is the identifier of a job that differs from all old ones.
	newID = "ffffffffffffffff"
)

// TestGrownConfigurationReachesDaemonsOverSlowLinks guards against call deadlines that abort and
// repeat the transfer of a large configuration, so that daemons on slow links never apply it and
// refuse every call.
func TestGrownConfigurationReachesDaemonsOverSlowLinks(t *testing.T) {
	platform, err := standin.Start(simulation.NewCluster(1, 1))
	require.NoError(t, err)
	t.Cleanup(platform.Close)
	r := &run{
		options:  Options{DaemonPath: buildDaemon(t), Daemons: 3, Directory: t.TempDir()},
		platform: platform, observations: observations{answers: map[string]int{}},
	}
	r.putInitialConfiguration()
	t.Cleanup(r.closeDaemons)
	require.NoError(t, r.start())
	for _, d := range r.daemons {
		d.proxy.SetRate(slowLink)
	}
	r.putConfiguration(func(c *standin.Configuration) {
		c.Keys = append(c.Keys, keyName(2))
		c.ExtraQueues = grownQueues
	})
	deadline := time.Now().Add(grownLimit)
	for _, d := range r.daemons {
		status := d.statusUntil(keyName(2), http.StatusGone, deadline)
		assert.Equal(t, http.StatusGone, status, "node-%d does not know the new key after %v", d.number, grownLimit)
	}
	caller := standin.NewClient(callTimeout)
	for _, d := range r.daemons {
		require.Eventually(t, func() bool { return caller.Ready(d.readinessAddress) }, time.Until(deadline), pollPeriod, "node-%d is not ready", d.number)
	}
}

// statusUntil polls the state of an unknown job until the daemon answers with the wanted status or
// the deadline is over, and returns the last status; zero means no response.
func (d *daemon) statusUntil(key string, wanted int, deadline time.Time) int {
	caller := standin.NewClient(callTimeout)
	for {
		status := 0
		if answer, err := caller.State(d.callerAddress, key, unknownID); err == nil {
			status = answer.Status
		}
		if status == wanted || time.Now().After(deadline) {
			return status
		}
		time.Sleep(pollPeriod)
	}
}

const (
	// oldJobs is the number of ended jobs in the store, each with a payload of the maximum size:
	// rows of 2.9 MB, 3.9 MB in base64.
	oldJobs        = 700
	largestPayload = 4000
)

// TestOwnerReadsManyRowsOverASlowLink guards against scan deadlines that abort and restart the
// initial read of a large table, so that a new owner never starts a job.
func TestOwnerReadsManyRowsOverASlowLink(t *testing.T) {
	platform, err := standin.Start(simulation.NewCluster(1, 1))
	require.NoError(t, err)
	t.Cleanup(platform.Close)
	platform.WithLock(func() { putEndedJobs(platform.Cluster, oldJobs) })
	r := &run{
		options:  Options{DaemonPath: buildDaemon(t), Daemons: 1, Directory: t.TempDir()},
		platform: platform, observations: observations{answers: map[string]int{}},
	}
	r.putInitialConfiguration()
	t.Cleanup(r.closeDaemons)
	d, err := newDaemon(0, r.options.programsFor(0), r.options.Directory, platform.Address())
	require.NoError(t, err)
	r.daemons = []*daemon{d}
	d.proxy.SetRate(slowLink)
	require.NoError(t, d.start())
	deadline := time.Now().Add(grownLimit)
	caller := standin.NewClient(callTimeout)
	require.Eventually(t, func() bool { return caller.Ready(d.readinessAddress) }, time.Until(deadline), pollPeriod)

	spec := &taskgraph.Spec{ID: newID, Payload: "job", Steps: []taskgraph.Step{{Count: 1, Resources: taskgraph.Resources{CPU: 1000, MemoryMB: 100}, EstimateMillis: 100}}}
	platform.WithLock(func() { platform.Cluster.RegisterJob(*spec, catalog.Queue{MaxAttempts: 1}) })
	require.Eventually(t, func() bool {
		answer, err := caller.Submit(d.callerAddress, keyName(1), spec)
		return err == nil && answer.Status == http.StatusOK
	}, time.Until(deadline), pollPeriod)
	require.Eventually(t, func() bool {
		answer, err := caller.State(d.callerAddress, keyName(1), spec.ID)
		return err == nil && answer.State == taskgraph.Completed
	}, time.Until(deadline), pollPeriod, "the owner must complete a new job")
}

// putEndedJobs writes the rows of ended jobs.
func putEndedJobs(cluster *simulation.Cluster, count int) {
	for number := range count {
		id := fmt.Sprintf("%016x", number+1)
		accepted := pool.Accepted{
			Spec:   taskgraph.Spec{ID: id, Payload: strings.Repeat("x", largestPayload), Steps: []taskgraph.Step{{Count: 1}}},
			Tenant: "tenant", Queue: catalog.Queue{Name: standin.QueueName, Pool: simulation.PoolName},
			AcceptedMillis: time.Now().UnixMilli(),
		}
		part := pool.JobPartitions(simulation.PoolName, id)[0]
		cluster.Store.Apply(rows.Transaction{Puts: []rows.Put{{Key: pool.AcceptedKey(part, id), Value: pool.Encode(accepted)}}})
		progressPart := pool.ProgressPartitions(simulation.PoolName)[0]
		ended := pool.Progress{Token: 1, State: taskgraph.Completed, EndedMillis: time.Now().UnixMilli()}
		cluster.Store.Apply(rows.Transaction{Puts: []rows.Put{{Key: rows.Key{Table: pool.ProgressTable, Part: progressPart, Name: id}, Value: pool.Encode(ended)}}})
	}
}
