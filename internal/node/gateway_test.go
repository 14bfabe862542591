package node

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/catalog"
	"github.com/wheatroad/wheatroad/internal/fault"
	"github.com/wheatroad/wheatroad/internal/loop"
	"github.com/wheatroad/wheatroad/internal/peer"
	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/rows"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

const (
	poolName = "workers"
	jobID    = "00000000000000aa"
)

// fakeStore keeps rows in memory. Calls about the partitions in refuse fail with ErrNoEffect. Calls
// about the partitions in unresponsive fail with ErrOutcomeUnknown.
type fakeStore struct {
	// rowsMutex guards the fields below against the goroutines of store calls.
	rowsMutex    sync.Mutex
	rows         map[rows.Key]rows.Row
	refuse       map[string]bool
	unresponsive map[string]bool
	version      int64
}

func newFakeStore() *fakeStore {
	return &fakeStore{rows: map[rows.Key]rows.Row{}, refuse: map[string]bool{}, unresponsive: map[string]bool{}}
}

func (f *fakeStore) failure(part string) error {
	switch {
	case f.refuse[part]:
		return rows.ErrNoEffect
	case f.unresponsive[part]:
		return rows.ErrOutcomeUnknown
	}
	return nil
}

func (f *fakeStore) Commit(_ context.Context, transaction rows.Transaction) (rows.Result, error) {
	f.rowsMutex.Lock()
	defer f.rowsMutex.Unlock()
	for _, put := range transaction.Puts {
		if err := f.failure(put.Part); err != nil {
			return rows.Result{}, err
		}
	}
	if err := rows.DefaultLimits().Check(&transaction); err != nil {
		return rows.Result{}, err
	}
	for _, condition := range transaction.Conditions {
		if row := f.rows[condition.Key]; row.Version != condition.Version {
			return rows.Result{Current: []rows.Row{row}}, nil
		}
	}
	f.version++
	for _, key := range transaction.Removes {
		delete(f.rows, key)
	}
	for _, put := range transaction.Puts {
		f.rows[put.Key] = rows.Row{Key: put.Key, Value: put.Value, Version: f.version}
	}
	return rows.Result{Committed: true, Version: f.version}, nil
}

func (f *fakeStore) Scan(_ context.Context, table, part, prefix string) (rows.Listing, error) {
	f.rowsMutex.Lock()
	defer f.rowsMutex.Unlock()
	if err := f.failure(part); err != nil {
		return rows.Listing{}, err
	}
	listing := rows.Listing{Version: f.version}
	for key, row := range f.rows {
		if key.Table == table && key.Part == part && len(key.Name) >= len(prefix) && key.Name[:len(prefix)] == prefix {
			listing.Rows = append(listing.Rows, row)
		}
	}
	return listing, nil
}

func (f *fakeStore) Page(ctx context.Context, table, part, from string, limit int) (rows.Listing, error) {
	listing, err := f.Scan(ctx, table, part, "")
	listing.Rows = slices.DeleteFunc(listing.Rows, func(row rows.Row) bool { return row.Name < from })
	slices.SortFunc(listing.Rows, func(a, b rows.Row) int { return strings.Compare(a.Name, b.Name) })
	listing.Rows = listing.Rows[:min(limit, len(listing.Rows))]
	return listing, err
}

func (f *fakeStore) Partitions(_ context.Context, table string) ([]string, error) {
	f.rowsMutex.Lock()
	defer f.rowsMutex.Unlock()
	names := map[string]bool{}
	for key := range f.rows {
		if key.Table == table {
			names[key.Part] = true
		}
	}
	return sortedKeys(names), f.failure(table)
}

func (f *fakeStore) Feed(context.Context, string, int64, time.Duration) (rows.Listing, error) {
	return rows.Listing{}, rows.ErrNoEffect
}

type discardRecorder struct{}

func (discardRecorder) Count(string, string)    {}
func (discardRecorder) LogEvent(string, ...any) {}

func (discardRecorder) Set(string, int64)             {}
func (discardRecorder) Observe(string, time.Duration) {}

func newGateway(t *testing.T, store rows.Store) *Gateway {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	dependencies := Dependencies{Store: store, Peers: peer.NewClient(nil), Loop: loop.NewGoroutine(), Recorder: discardRecorder{}}
	n := New(ctx, Options{Name: "node-1", MaxConfigurationAge: time.Hour}, dependencies)
	current := &catalog.Catalog{
		Version: 1,
		Queues: []catalog.Queue{
			{Name: "q", Host: "h", PathPrefix: "/q/", Pool: poolName},
			{Name: "long", Host: "h", PathPrefix: "/q/long/", Pool: poolName, Public: true},
		},
		Tenants: []catalog.Tenant{{Name: "tenant", Keys: []string{"key"}}},
	}
	current.Index()
	n.catalog.Store(current)
	n.recordConfirmation(time.Now())
	return NewGateway(n)
}

func testSpec() *taskgraph.Spec {
	return &taskgraph.Spec{ID: jobID, Steps: []taskgraph.Step{{Count: 1}}}
}

func testAccess() Access {
	return Access{Queue: catalog.Queue{Name: "q", Pool: poolName}, Tenant: "tenant"}
}

func TestSubmitOutcomeByStoreResult(t *testing.T) {
	parts := pool.JobPartitions(poolName, jobID)
	cases := map[string]struct {
		prepare func(*fakeStore)
		want    fault.Kind
	}{
		"no failure":                                {func(*fakeStore) {}, ""},
		"one partition refuses":                     {func(f *fakeStore) { f.refuse[parts[0]] = true }, ""},
		"one partition unresponsive":                {func(f *fakeStore) { f.unresponsive[parts[0]] = true }, ""},
		"all partitions refuse":                     {func(f *fakeStore) { f.refuse = allOf(parts) }, fault.StoreUnavailable},
		"all partitions unresponsive":               {func(f *fakeStore) { f.unresponsive = allOf(parts) }, fault.OutcomeUnknown},
		"one partition unresponsive, others refuse": {func(f *fakeStore) { f.unresponsive[parts[0]] = true; f.refuse = allOf(parts[1:]) }, fault.OutcomeUnknown},
	}
	for name, c := range cases {
		store := newFakeStore()
		c.prepare(store)
		err := newGateway(t, store).Submit(context.Background(), testAccess(), testSpec())
		if c.want == "" {
			require.NoError(t, err, name)
			continue
		}
		require.True(t, fault.IsKind(err, c.want), "%s: %v", name, err)
	}
}

// hangingPartitionStore never responds to transactions in one partition.
type hangingPartitionStore struct {
	*fakeStore
	part string
}

func (s *hangingPartitionStore) Commit(ctx context.Context, transaction rows.Transaction) (rows.Result, error) {
	if transaction.Puts[0].Part != s.part {
		return s.fakeStore.Commit(ctx, transaction)
	}
	<-ctx.Done()
	return rows.Result{}, rows.ErrOutcomeUnknown
}

// TestWriteIsHedgedToNextPartition: a submission must not time out because one partition is
// unresponsive.
func TestWriteIsHedgedToNextPartition(t *testing.T) {
	store := &hangingPartitionStore{fakeStore: newFakeStore(), part: pool.JobPartitions(poolName, jobID)[0]}
	require.NoError(t, newGateway(t, store).Submit(context.Background(), testAccess(), testSpec()))
	require.Contains(t, store.rows, pool.AcceptedKey(pool.JobPartitions(poolName, jobID)[1], jobID))
}

func allOf(parts []string) map[string]bool {
	all := map[string]bool{}
	for _, part := range parts {
		all[part] = true
	}
	return all
}

func TestSameJobAgainIsOneJob(t *testing.T) {
	gateway := newGateway(t, newFakeStore())
	require.NoError(t, gateway.Submit(context.Background(), testAccess(), testSpec()))
	require.NoError(t, gateway.Submit(context.Background(), testAccess(), testSpec()))
	other := testSpec()
	other.Payload = "other"
	err := gateway.Submit(context.Background(), testAccess(), other)
	require.True(t, fault.IsKind(err, fault.DuplicateID), "%v", err)
}

func TestUnknownJobNeedsResponseOfEveryPartition(t *testing.T) {
	store := newFakeStore()
	gateway := newGateway(t, store)
	_, err := gateway.Lookup(context.Background(), testAccess(), jobID)
	require.True(t, fault.IsKind(err, fault.UnknownJob), "%v", err)
	store.refuse[pool.JobPartitions(poolName, jobID)[2]] = true
	_, err = gateway.Lookup(context.Background(), testAccess(), jobID)
	require.True(t, fault.IsKind(err, fault.StoreUnavailable), "%v", err)
}

func TestLookupTakesTheNewestProgress(t *testing.T) {
	store := newFakeStore()
	gateway := newGateway(t, store)
	require.NoError(t, gateway.Submit(context.Background(), testAccess(), testSpec()))
	state, err := gateway.Lookup(context.Background(), testAccess(), jobID)
	require.NoError(t, err)
	require.Equal(t, taskgraph.Queued, state)
	parts := pool.ProgressPartitions(poolName)
	put := func(part string, record pool.Progress) {
		key := rows.Key{Table: pool.ProgressTable, Part: part, Name: jobID}
		store.rows[key] = rows.Row{Key: key, Value: pool.Encode(record), Version: record.Token + 1}
	}
	put(parts[0], pool.Progress{Token: 7, Serial: 9, State: taskgraph.Running})
	put(parts[1], pool.Progress{Token: 8, Serial: 2, State: taskgraph.Completed})
	state, err = gateway.Lookup(context.Background(), testAccess(), jobID)
	require.NoError(t, err)
	require.Equal(t, taskgraph.Completed, state)
	store.unresponsive[parts[1]] = true
	_, err = gateway.Lookup(context.Background(), testAccess(), jobID)
	require.Error(t, err, "an older progress row must not be returned while a part is unread")
}

func TestCancelNeedsAJobAndIsIdempotent(t *testing.T) {
	store := newFakeStore()
	gateway := newGateway(t, store)
	err := gateway.Cancel(context.Background(), testAccess(), jobID)
	require.True(t, fault.IsKind(err, fault.UnknownJob), "%v", err)
	require.NoError(t, gateway.Submit(context.Background(), testAccess(), testSpec()))
	require.NoError(t, gateway.Cancel(context.Background(), testAccess(), jobID))
	require.NoError(t, gateway.Cancel(context.Background(), testAccess(), jobID))
	state, err := gateway.Lookup(context.Background(), testAccess(), jobID)
	require.NoError(t, err)
	require.Equal(t, taskgraph.Cancelled, state)
}

func TestResolve(t *testing.T) {
	gateway := newGateway(t, newFakeStore())
	access, rest, err := gateway.Resolve("h", "/q/"+jobID, "key")
	require.NoError(t, err)
	require.Equal(t, "q", access.Queue.Name)
	require.Equal(t, "tenant", access.Tenant)
	require.Equal(t, jobID, rest)
	access, rest, err = gateway.Resolve("h", "/q/long/x", "")
	require.NoError(t, err, "the longest prefix wins, and a public queue needs no key")
	require.Equal(t, "long", access.Queue.Name)
	require.Equal(t, "x", rest)
	_, _, err = gateway.Resolve("h", "/q/x", "other")
	require.True(t, fault.IsKind(err, fault.Unauthenticated), "%v", err)
	_, _, err = gateway.Resolve("other", "/q/x", "key")
	require.True(t, fault.IsKind(err, fault.NotFound), "%v", err)
	old := time.Now().Add(-2 * time.Hour)
	gateway.node.confirmedAt.Store(&old)
	_, _, err = gateway.Resolve("h", "/q/x", "key")
	require.True(t, fault.IsKind(err, fault.ConfigurationStale), "a key that may have been revoked must be refused: %v", err)
	require.False(t, gateway.Ready())
}

func TestHeavierNodesTakePoolsFirst(t *testing.T) {
	gateway := newGateway(t, newFakeStore())
	n := gateway.node
	n.options.Weight = 0.2
	n.memberSample.members["node-2"] = member{Name: "node-2", Weight: 0.8}
	n.memberSample.members["node-3"] = member{Name: "node-3", Weight: 0.1}
	require.Equal(t, 1, n.takeoverRank(poolName))
}

// fieldsRecorder keeps the fields of log events.
type fieldsRecorder struct {
	discardRecorder
	fields map[string][]any
}

func (r fieldsRecorder) LogEvent(event string, fields ...any) { r.fields[event] = fields }

// TestEarlyRefusalsAreLogged: the log of a request that is refused before its body is read must
// name the job.
func TestEarlyRefusalsAreLogged(t *testing.T) {
	g := newGateway(t, newFakeStore())
	recorder := fieldsRecorder{fields: map[string][]any{}}
	g.node.dependencies.Recorder = recorder
	_, _, err := g.Resolve("h", "/q/"+jobID, "unknown key")
	require.True(t, fault.IsKind(err, fault.Unauthenticated))
	require.Contains(t, recorder.fields["request refused"], jobID)
	require.Contains(t, recorder.fields["request refused"], "unauthenticated")
	_, _, err = g.Resolve("h", "/none/", "key")
	require.True(t, fault.IsKind(err, fault.NotFound))
	require.Contains(t, recorder.fields["request refused"], "not_found")
}
