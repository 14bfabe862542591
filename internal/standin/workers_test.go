package standin

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/machines"
	"github.com/wheatroad/wheatroad/internal/worker"
)

func order(action worker.Action, epoch int64) worker.Order {
	return worker.Order{
		Action: action, Domain: "r/z", Epoch: epoch, Tenant: "t", Job: "j", Attempt: 1, Members: []int{0, 1},
		Accelerators: 2, ReserveSeconds: 10, LeaseSeconds: 30, CheckpointSeconds: 5, Payload: `{"run_seconds":60}`,
	}
}

// TestWorkerContract sends orders at given times and checks each reply.
func TestWorkerContract(t *testing.T) {
	type step struct {
		at      float64
		order   worker.Order
		refusal worker.Refusal
		state   worker.TaskState
	}
	cases := map[string][]step{
		"reserve, start, finish": {
			{0, order(worker.Reserve, 1), "", worker.TaskReserved},
			{1, order(worker.Start, 1), "", worker.TaskRunning},
			{20, order(worker.Renew, 1), "", worker.TaskRunning},
			{45, order(worker.Renew, 1), "", worker.TaskRunning},
			{61, order(worker.Renew, 1), "", worker.TaskFinished},
		},
		"a reservation runs out": {
			{0, order(worker.Reserve, 1), "", worker.TaskReserved},
			{11, order(worker.Start, 1), worker.RefusedNoReservation, ""},
		},
		"a lease runs out": {
			{0, order(worker.Reserve, 1), "", worker.TaskReserved},
			{0, order(worker.Start, 1), "", worker.TaskRunning},
			{31, order(worker.Renew, 1), "", worker.TaskStopped},
		},
		"an older epoch is refused": {
			{0, order(worker.Reserve, 2), "", worker.TaskReserved},
			{1, order(worker.Start, 1), worker.RefusedStaleEpoch, worker.TaskReserved},
			{1, order(worker.Start, 2), "", worker.TaskRunning},
			{2, order(worker.Stop, 1), worker.RefusedStaleEpoch, worker.TaskRunning},
		},
		"a second start changes nothing": {
			{0, order(worker.Reserve, 1), "", worker.TaskReserved},
			{0, order(worker.Start, 1), "", worker.TaskRunning},
			{5, order(worker.Start, 1), "", worker.TaskRunning},
			{29, order(worker.Renew, 1), "", worker.TaskRunning},
			{50, order(worker.Renew, 1), "", worker.TaskRunning},
			{61, order(worker.Renew, 1), "", worker.TaskFinished},
		},
		"a checkpoint ends the task": {
			{0, order(worker.Reserve, 1), "", worker.TaskReserved},
			{0, order(worker.Start, 1), "", worker.TaskRunning},
			{10, order(worker.Checkpoint, 1), "", worker.TaskRunning},
			{16, order(worker.Renew, 1), "", worker.TaskStopped},
		},
		"a stop ends it at once": {
			{0, order(worker.Reserve, 1), "", worker.TaskReserved},
			{0, order(worker.Start, 1), "", worker.TaskRunning},
			{1, order(worker.Stop, 1), "", worker.TaskStopped},
			{2, order(worker.DeleteEnded, 1), "", ""},
		},
		"nothing to stop": {{0, order(worker.Stop, 1), worker.RefusedUnknownTask, ""}},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			w := NewWorker(machines.Machine{Name: "r/z/k/w", Accelerators: 4, Slots: 8})
			for _, s := range steps {
				now := time.Unix(0, 0).Add(seconds(s.at))
				reply := w.Handle(now, s.order)
				require.Equal(t, s.refusal, reply.Refusal, "at %g", s.at)
				require.Equal(t, s.state, stateOf(w), "at %g", s.at)
			}
		})
	}
}

func stateOf(w *SimulatedWorker) worker.TaskState {
	for _, t := range w.tasks {
		return t.State
	}
	return ""
}

func TestWorkerRefusesWhatDoesNotFit(t *testing.T) {
	w := NewWorker(machines.Machine{Name: "r/z/k/w", Accelerators: 4, Slots: 3})
	now := time.Unix(0, 0)
	require.Equal(t, worker.RefusedNone, w.Handle(now, order(worker.Reserve, 1)).Refusal)
	other := order(worker.Reserve, 1)
	other.Job = "other"
	require.Equal(t, worker.RefusedNoCapacity, w.Handle(now, other).Refusal)
	other.Accelerators = 0
	require.Equal(t, worker.RefusedNoCapacity, w.Handle(now, other).Refusal, "slots limit reservations")
	w.SetLeaving(true)
	require.Equal(t, worker.RefusedDraining, w.Handle(now.Add(time.Minute), other).Refusal)
}

func TestListAndFeedLag(t *testing.T) {
	now := time.Unix(0, 0)
	site := NewSite([]Layout{{Region: "r", Zone: "z", Racks: 1, WorkersPerRack: 1, Accelerators: 4, Slots: 8}}, "", now)
	site.ListLag, site.ReportLag = 10*time.Second, time.Second
	first := site.Changes(now, 0)
	require.Len(t, first.Machines, 1)
	site.Order(now, first.Machines[0].Name, order(worker.Reserve, 1))
	site.Order(now, first.Machines[0].Name, order(worker.Start, 1))
	site.SetStatus(now, first.Machines[0].Name, machines.Leaving)
	require.Empty(t, site.Changes(now.Add(9*time.Second), first.Cursor).Machines)
	require.Equal(t, machines.Leaving, site.Changes(now.Add(10*time.Second), first.Cursor).Machines[0].Status)
	require.Empty(t, site.Reports(now, "r/z", 0).Reports)
	reports := site.Reports(now.Add(time.Second), "r/z", 0)
	require.Len(t, reports.Reports, 1)
	require.True(t, reports.Reports[0].Draining)
	require.Empty(t, site.Reports(now.Add(time.Minute), "r/z", reports.Cursor).Reports)
}
