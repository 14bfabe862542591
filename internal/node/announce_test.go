package node

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/mechanism"
	"github.com/wheatroad/wheatroad/internal/peer"
	"github.com/wheatroad/wheatroad/internal/peer/peerpb"
	"github.com/wheatroad/wheatroad/internal/pool"
)

// receiveNotices starts a server that stands in for the pool's owner, and points the gateway's
// lease at the server. It returns the notices that the server receives.
func receiveNotices(t *testing.T, gateway *Gateway) <-chan acceptedNotice {
	notices := make(chan acceptedNotice, 4)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		_ = peer.NewServer(func(_ context.Context, request *peerpb.Request) ([]byte, error) {
			var notice acceptedNotice
			if call := request.GetPoolCall(); call.Method == methodAccepted && json.Unmarshal(call.Document, &notice) == nil {
				notices <- notice
			}
			return []byte("{}"), nil
		}).Serve(listener)
	}()
	lease := versionedLease{}
	lease.Owner, lease.Address = "node-2", listener.Addr().String()
	gateway.node.snapshot.Store(&snapshot{leases: map[string]versionedLease{poolName: lease}})
	return notices
}

func TestAcceptedJobIsAnnouncedToTheOwner(t *testing.T) {
	store := newFakeStore()
	gateway := newGateway(t, store)
	notices := receiveNotices(t, gateway)
	require.NoError(t, gateway.Submit(t.Context(), testAccess(), testSpec()))
	select {
	case notice := <-notices:
		key := pool.AcceptedKey(pool.JobPartitions(poolName, jobID)[0], jobID)
		require.Equal(t, poolName, notice.Pool)
		require.Equal(t, store.rows[key], notice.Row, "the notice must hold the stored row")
	case <-time.After(10 * time.Second):
		t.Fatal("the owner did not receive the notice")
	}
}

// TestRefusedJobIsNotAnnounced: the owner must not receive a job that is not in the store.
func TestRefusedJobIsNotAnnounced(t *testing.T) {
	store := newFakeStore()
	store.refuse = allOf(pool.JobPartitions(poolName, jobID))
	gateway := newGateway(t, store)
	notices := receiveNotices(t, gateway)
	require.Error(t, gateway.Submit(t.Context(), testAccess(), testSpec()))
	store.refuse = nil
	gateway.node.options.DisabledMechanisms = mechanism.Disabled{mechanism.Announcements: true}
	require.NoError(t, gateway.Submit(t.Context(), testAccess(), testSpec()))
	gateway.node.options.DisabledMechanisms = nil
	other := testSpec()
	other.ID = "00000000000000bb"
	require.NoError(t, gateway.Submit(t.Context(), testAccess(), other))
	notice := <-notices
	require.Contains(t, notice.Row.Name, other.ID, "the first notice must be of the job submitted last")
}
