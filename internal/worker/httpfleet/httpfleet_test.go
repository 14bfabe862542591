package httpfleet

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/standin"
	"github.com/wheatroad/wheatroad/internal/worker"
)

func startServer(t testing.TB) (*standin.Server, *Fleet, string) {
	site := standin.NewSite([]standin.Layout{{Region: "r", Zone: "z", Racks: 1, WorkersPerRack: 2, Accelerators: 8, CPUs: 64, MemoryGB: 256, Slots: 8}}, "", time.Now())
	server := standin.NewServer(site, 1, time.Now)
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	return server, New(listener.URL, listener.Client(), listener.Client()), listener.URL
}

const workerName = "r/z/rack00/worker00"

func TestFleetContract(t *testing.T) {
	server, fleet, address := startServer(t)
	order := worker.Order{Action: worker.Reserve, Domain: "r/z", Epoch: 2, Tenant: "t", Job: "j", Attempt: 1, Members: []int{0}, ReserveSeconds: 60}
	reply, err := fleet.Send(t.Context(), workerName, address, order)
	require.NoError(t, err)
	require.Empty(t, reply.Refusal)
	order.Epoch = 1
	reply, err = fleet.Send(t.Context(), workerName, address, order)
	require.NoError(t, err)
	require.Equal(t, worker.RefusedStaleEpoch, reply.Refusal)
	require.Equal(t, int64(2), reply.Epoch)
	_, err = fleet.Send(t.Context(), "r/z/rack09/worker00", address, order)
	require.Error(t, err)
	for _, mode := range []standin.Mode{standin.Down, standin.Unresponsive} {
		server.SetFault("worker:"+workerName, standin.Fault{Mode: mode})
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		_, err = fleet.Send(ctx, workerName, address, order)
		cancel()
		require.Error(t, err, mode)
	}
	reports, err := fleet.Reports(t.Context(), "r/z", -1)
	require.NoError(t, err)
	require.Zero(t, reports.Cursor)
}

// BenchmarkRenewal measures a lease renewal with client and server in one process.
func BenchmarkRenewal(b *testing.B) {
	_, fleet, address := startServer(b)
	order := worker.Order{Action: worker.Renew, Domain: "r/z", Epoch: 1, LeaseSeconds: 60}
	for b.Loop() {
		if _, err := fleet.Send(b.Context(), workerName, address, order); err != nil {
			b.Fatal(err)
		}
	}
}
