package node

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/fault"
	"github.com/wheatroad/wheatroad/internal/mechanism"
	"github.com/wheatroad/wheatroad/internal/rows"
)

// returningStore refuses until it is back.
type returningStore struct {
	*fakeStore
	back atomic.Bool
	// refusals counts calls before that; returnAfter of them bring it back.
	refusals    atomic.Int32
	returnAfter int32
}

func (r *returningStore) Commit(ctx context.Context, transaction rows.Transaction) (rows.Result, error) {
	if !r.back.Load() {
		if r.refusals.Add(1) >= r.returnAfter {
			r.back.Store(true)
		}
		return rows.Result{}, rows.ErrRefused
	}
	return r.fakeStore.Commit(ctx, transaction)
}

func TestSubmissionWaitsShortlyForTheStore(t *testing.T) {
	cases := map[string]struct {
		returnAfter int32
		wait        time.Duration
		want        fault.Kind
	}{
		"back in time":      {4, time.Hour, ""},
		"no time to wait":   {4, 0, fault.StoreUnavailable},
		"away for too long": {1 << 30, 50 * time.Millisecond, fault.StoreUnavailable},
		"it was never away": {1, 0, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			store := &returningStore{fakeStore: newFakeStore(), returnAfter: c.returnAfter}
			access := testAccess()
			access.waitUntil = time.Now().Add(c.wait)
			err := newGateway(t, store).Submit(context.Background(), access, testSpec())
			if c.want == "" {
				require.NoError(t, err)
				return
			}
			require.True(t, fault.IsKind(err, c.want), "%v", err)
		})
	}
}

func TestWaitLeavesTimeOfTheDeadline(t *testing.T) {
	gateway := newGateway(t, newFakeStore())
	ctx, cancel := context.WithTimeout(context.Background(), answerReserve+time.Millisecond)
	defer cancel()
	old := time.Now().Add(-2 * time.Hour)
	gateway.node.confirmed.Store(&old)
	_, _, err := gateway.ResolveSubmission(ctx, "h", "/q/"+jobID, "key")
	require.True(t, fault.IsKind(err, fault.ConfigurationOld), "%v", err)
	require.NoError(t, ctx.Err(), "refused before the caller's deadline")
}

func TestRetriesAreMadeOnceTheStoreIsBack(t *testing.T) {
	n := newWatchingNode(t, 1, nil)
	retried := 0
	n.storeRetries.After(time.Hour, func() { retried++ })
	n.noteStoreFailure(rows.ErrRefused)
	require.Zero(t, retried)
	n.noteStore(nil)
	require.Equal(t, 1, retried)
	n.storeRetries.Now()
	require.Equal(t, 1, retried, "once")
}

// TestWaitingSubmissionDoesNotSpin: with no other node to ask, each try failed at once
// and the next followed without a pause.
func TestWaitingSubmissionDoesNotSpin(t *testing.T) {
	store := &returningStore{fakeStore: newFakeStore(), returnAfter: 1 << 30}
	gateway := newGateway(t, store)
	gateway.node.options.Off = mechanism.Off{mechanism.StoreRelay: true}
	access := testAccess()
	access.waitUntil = time.Now().Add(10 * patiencePeriod)
	require.Error(t, gateway.Submit(context.Background(), access, testSpec()))
	require.LessOrEqual(t, store.refusals.Load(), int32(10*3+3), "three parts a try")
}
