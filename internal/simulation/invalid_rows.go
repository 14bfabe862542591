package simulation

import (
	"encoding/json"
	"math/rand/v2"

	"github.com/wheatroad/wheatroad/internal/fleet"
	"github.com/wheatroad/wheatroad/internal/rows"
)

// PutInvalidRow writes a row with the given value to the worker table.
func (c *Cluster) PutInvalidRow(name string, value []byte) {
	c.Store.Apply(rows.Transaction{Puts: []rows.Put{{Key: rows.Key{Table: c.WorkerTable, Name: name}, Value: value}}})
}

// OverwriteWorkerRow overwrites a worker's row. The worker writes the row again after
// heartbeatPeriod.
func (c *Cluster) OverwriteWorkerRow(worker *Worker, value []byte) {
	c.PutInvalidRow(worker.ID, value)
	c.Clock.After(heartbeatPeriod, func() {
		if !worker.Crashed {
			c.PutWorkerRow(worker)
		}
	})
}

// UnknownWorkerID is a worker identifier that no worker has.
const UnknownWorkerID = "nobody"

// invalidRowValues are row values that decodeWorker rejects.
var invalidRowValues = [][]byte{
	nil, []byte("null"), []byte("{}"), []byte("[]"), []byte("{"), {0xff, 0x00, 0xfe}, []byte(`"ready"`),
	[]byte(`{"ID":7}`), []byte(`{"Pool":"workers","Address":["w-0-0"],"Capacity":{"GPUs":"8"}}`),
}

// InjectInvalidRow occasionally writes an invalid row, under the identifier of a running worker or
// under UnknownWorkerID. All its random numbers come from random.
func (c *Cluster) InjectInvalidRow(random *rand.Rand) {
	value := invalidRowValues[random.IntN(len(invalidRowValues))]
	running := c.RunningWorkers()
	switch random.IntN(8) {
	case 0:
		c.PutInvalidRow(UnknownWorkerID, value)
	case 1:
		if len(running) == 0 {
			return
		}
		c.OverwriteWorkerRow(running[random.IntN(len(running))], value)
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
