package node

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/fault"
	"github.com/wheatroad/wheatroad/internal/rows"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// rejectingStore rejects all transactions for their content.
type rejectingStore struct {
	*fakeStore
	commits atomic.Int32
}

func (s *rejectingStore) Commit(context.Context, rows.Transaction) (rows.Result, error) {
	s.commits.Add(1)
	return rows.Result{}, rows.Rejected(errors.New("store returned status 400"))
}

// largeSpec returns a valid job whose accepted row is larger than the store takes.
func largeSpec() *taskgraph.Spec {
	spec := &taskgraph.Spec{ID: jobID}
	for range taskgraph.MaxSteps {
		spec.Steps = append(spec.Steps, taskgraph.Step{Count: 1, RequiredLabel: strings.Repeat("l", 300)})
	}
	return spec
}

// TestJobThatStoreDoesNotTakeIsRejectedAtOnce guards against callers that are told to come back with a job
// whose row the store will never take.
func TestJobThatStoreDoesNotTakeIsRejectedAtOnce(t *testing.T) {
	cases := map[string]struct {
		spec    *taskgraph.Spec
		want    fault.Kind
		commits int32
	}{
		"row over the known limit": {largeSpec(), fault.TooLarge, 0},
		"rejected by the store":    {testSpec(), fault.StoreRejected, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			store := &rejectingStore{fakeStore: newFakeStore()}
			err := newGateway(t, store).Submit(context.Background(), testAccess(), c.spec)
			require.True(t, fault.IsKind(err, c.want), "%v", err)
			require.Zero(t, fault.ResponseFor(c.want).RetryAfter)
			require.Equal(t, c.commits, store.commits.Load())
		})
	}
}

// TestRejectionPassesThroughAnotherNode: a node that reaches the store through another one tells rejections
// from failures, and does not ask a third one.
func TestRejectionPassesThroughAnotherNode(t *testing.T) {
	store := &rejectingStore{fakeStore: newFakeStore()}
	gateway := newGatewayWithPeer(t, refusingStore{}, store)
	_, err := gateway.node.store.Commit(context.Background(), rows.Transaction{Puts: []rows.Put{{Key: rows.Key{Table: "t"}}}})
	require.True(t, errors.Is(err, rows.ErrRejected), "%v", err)
	require.Contains(t, err.Error(), "status 400", "the reason reaches the log")
	require.Equal(t, int32(1), store.commits.Load())
}

// TestRejectionShowsThatStoreIsReachable: a store that rejects a transaction is neither lost nor probed.
func TestRejectionShowsThatStoreIsReachable(t *testing.T) {
	gateway := newGateway(t, &rejectingStore{fakeStore: newFakeStore()})
	_, err := gateway.node.store.Commit(context.Background(), rows.Transaction{})
	require.True(t, errors.Is(err, rows.ErrRejected), "%v", err)
	require.False(t, gateway.node.storeLost())
}
