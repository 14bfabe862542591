package simulation

import (
	"encoding/json"
	"math/rand/v2"

	"github.com/wheatroad/wheatroad/internal/fleet"
	"github.com/wheatroad/wheatroad/internal/rows"
)

// PutInvalidRow writes a row to the worker table that did not come from a worker.
func (w *Cluster) PutInvalidRow(name string, value []byte) {
	w.Store.Apply(rows.Transaction{Puts: []rows.Put{{Key: rows.Key{Table: w.WorkerTable, Name: name}, Value: value}}})
}

// OverwriteWorkerRow overwrites a worker's row until the worker's next heartbeat.
func (w *Cluster) OverwriteWorkerRow(worker *Worker, value []byte) {
	w.PutInvalidRow(worker.ID, value)
	w.Clock.After(heartbeatPeriod, func() {
		if !worker.Crashed {
			w.PutWorkerRow(worker)
		}
	})
}

// UnknownWorkerID is a worker identifier that no worker has.
const UnknownWorkerID = "nobody"

// invalidRowValues are row values that do not decode to a usable worker.
var invalidRowValues = [][]byte{
	nil, []byte("null"), []byte("{}"), []byte("[]"), []byte("{"), {0xff, 0x00, 0xfe}, []byte(`"ready"`),
	[]byte(`{"ID":7}`), []byte(`{"Pool":"workers","Address":["w-0-0"],"Capacity":{"GPUs":"8"}}`),
}

// InjectInvalidRow occasionally writes an invalid row, under the identifier of a worker or of none.
// It draws only from random.
func (w *Cluster) InjectInvalidRow(random *rand.Rand) {
	value := invalidRowValues[random.IntN(len(invalidRowValues))]
	living := w.RunningWorkers()
	switch random.IntN(8) {
	case 0:
		w.PutInvalidRow(UnknownWorkerID, value)
	case 1:
		if len(living) == 0 {
			return
		}
		w.OverwriteWorkerRow(living[random.IntN(len(living))], value)
	}
}

// decodeWorker decodes a row written by encodeWorker and rejects invalid rows.
func decodeWorker(value []byte) (*fleet.Worker, error) {
	var decoded fleet.Worker
	if err := json.Unmarshal(value, &decoded); err != nil {
		return nil, &fleet.RowError{Fault: fleet.RowUnreadable}
	}
	if decoded.ID == "" || decoded.Pool == "" || decoded.Address == "" {
		return nil, &fleet.RowError{Fault: fleet.RowMissingField}
	}
	return &decoded, nil
}
