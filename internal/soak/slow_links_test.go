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
	// grownQueues make a configuration that takes six seconds over a slow link: a row of
	// some 1.8 MB, which base64 turns into 2.4 MB.
	grownQueues = 9500
	// grownLimit is how long a daemon may take until a grown configuration is in force
	// there: the transfer, several times over.
	grownLimit = 40 * time.Second
	// unknownID is the identifier of a job that nobody has handed in.
	unknownID = "00000000000000ff"
	// newID is the identifier of a job that none of the old ones has.
	newID = "ffffffffffffffff"
)

// TestGrownConfigurationReachesDaemonsOverSlowLinks: a configuration whose transfer takes
// longer than any deadline of a single call still comes into force everywhere.
//
// What happened: a site's configuration grew by steps. At 390 KB a version, nodes on links
// of 10 Mbit/s (1,250 KB/s) had it late; at 770 KB up to 23 s late, and they lost the store
// and the owner by turns meanwhile; at 1,160 KB they never got the newest version. From
// then on they failed their readiness checks and refused every call, since a configuration
// that is not confirmed answers nobody. At the end of a day 96 accepted jobs had no answer.
//
// The cause: the configuration is one row, sent whole by the feed, by the scan that begins
// it anew, and through other nodes. Each transfer was given up at a fixed deadline of 0.5
// to 3.2 s, whatever had arrived was thrown away, and the same transfer was tried again.
// The tries shared the link with each other and with the small calls that tell whether the
// store and the owner live, so that above some size none of them ever ended.
//
// What settled it: the links of these nodes were full, at 1,160 KB/s each, while their
// processors were at 0 to 3% and the store answered each call that it got; nodes on
// large links had every version within a second.
func TestGrownConfigurationReachesDaemonsOverSlowLinks(t *testing.T) {
	platform, err := standin.Start(simulation.NewWorld(1, 1))
	require.NoError(t, err)
	t.Cleanup(platform.Close)
	r := &run{
		options:  Options{Program: buildDaemon(t), Daemons: 3, Folder: t.TempDir()},
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
	caller := standin.NewCaller(callTimeout)
	for _, d := range r.daemons {
		require.Eventually(t, func() bool { return caller.Ready(d.ready) }, time.Until(deadline), pollPeriod, "node-%d is not ready", d.number)
	}
}

// statusUntil asks a daemon for an unknown job until it answers with the wanted status or
// the deadline is over, and returns the last status; zero is no answer.
func (d *daemon) statusUntil(key string, wanted int, deadline time.Time) int {
	caller := standin.NewCaller(callTimeout)
	for {
		status := 0
		if answer, err := caller.State(d.callers, key, unknownID); err == nil {
			status = answer.Status
		}
		if status == wanted || time.Now().After(deadline) {
			return status
		}
		time.Sleep(pollPeriod)
	}
}

const (
	// oldJobs is how many ended jobs the store keeps, each with a payload of the largest
	// size that callers may hand in: rows of 2.9 MB, which base64 turns into 3.9 MB.
	oldJobs        = 700
	largestPayload = 4000
)

// TestOwnerReadsManyRowsOverASlowLink: a pool's new owner reads all rows of its jobs before
// it starts anything. The cause of the test above acts here as well: each scan of a part
// was given up after 1.5 s, and began anew with nothing of what had arrived.
func TestOwnerReadsManyRowsOverASlowLink(t *testing.T) {
	platform, err := standin.Start(simulation.NewWorld(1, 1))
	require.NoError(t, err)
	t.Cleanup(platform.Close)
	platform.Locked(func() { putEndedJobs(platform.World, oldJobs) })
	r := &run{
		options:  Options{Program: buildDaemon(t), Daemons: 1, Folder: t.TempDir()},
		platform: platform, observations: observations{answers: map[string]int{}},
	}
	r.putInitialConfiguration()
	t.Cleanup(r.closeDaemons)
	d, err := newDaemon(0, r.options.Program, r.options.Folder, platform.Address())
	require.NoError(t, err)
	r.daemons = []*daemon{d}
	d.proxy.SetRate(slowLink)
	require.NoError(t, d.start())
	deadline := time.Now().Add(grownLimit)
	caller := standin.NewCaller(callTimeout)
	require.Eventually(t, func() bool { return caller.Ready(d.ready) }, time.Until(deadline), pollPeriod)

	spec := &taskgraph.Spec{ID: newID, Payload: "job", Steps: []taskgraph.Step{{Count: 1, Amount: taskgraph.Amount{CPU: 1000, MemoryMB: 100}, EstimateMillis: 100}}}
	platform.Locked(func() { platform.World.Expect(*spec, catalog.Queue{MaxAttempts: 1}) })
	require.Eventually(t, func() bool {
		answer, err := caller.Submit(d.callers, keyName(1), spec)
		return err == nil && answer.Status == http.StatusOK
	}, time.Until(deadline), pollPeriod)
	require.Eventually(t, func() bool {
		answer, err := caller.State(d.callers, keyName(1), spec.ID)
		return err == nil && answer.State == taskgraph.Completed
	}, time.Until(deadline), pollPeriod, "the owner starts a new job")
}

// putEndedJobs writes the rows of jobs that have ended.
func putEndedJobs(world *simulation.World, count int) {
	for number := range count {
		id := fmt.Sprintf("%016x", number+1)
		accepted := pool.Accepted{
			Spec:   taskgraph.Spec{ID: id, Payload: strings.Repeat("x", largestPayload), Steps: []taskgraph.Step{{Count: 1}}},
			Tenant: "tenant", Queue: catalog.Queue{Name: standin.QueueName, Pool: simulation.PoolName},
			AcceptedMillis: time.Now().UnixMilli(),
		}
		part := pool.JobParts(simulation.PoolName, id)[0]
		world.Store.Apply(rows.Transaction{Puts: []rows.Put{{Key: pool.AcceptedKey(part, id), Value: pool.Encode(accepted)}}})
		progressPart := pool.ProgressParts(simulation.PoolName)[0]
		ended := pool.Progress{Token: 1, State: taskgraph.Completed, EndedMillis: time.Now().UnixMilli()}
		world.Store.Apply(rows.Transaction{Puts: []rows.Put{{Key: rows.Key{Table: pool.ProgressTable, Part: progressPart, Name: id}, Value: pool.Encode(ended)}}})
	}
}
