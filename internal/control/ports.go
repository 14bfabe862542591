package control

import (
	"github.com/wheatroad/wheatroad/internal/machines"
	"github.com/wheatroad/wheatroad/internal/store"
	"github.com/wheatroad/wheatroad/internal/worker"
)

// Ports reach the outside. Each call returns at once; done runs on the node's
// loop, exactly once.
type Ports interface {
	// Commit applies a transaction. The error wraps store.ErrOutcomeUnknown or
	// store.ErrUnavailable.
	Commit(transaction store.Transaction, done func(store.CommitResult, error))
	// Scan reads the rows under a prefix written after a revision.
	Scan(prefix string, since int64, done func(store.ScanResult, error))
	// Get reads one row.
	Get(key string, done func(store.Row, error))
	// Send delivers an order to a worker.
	Send(name, address string, order worker.Order, done func(worker.Reply, error))
	// Reports reads a domain's report feed.
	Reports(domain string, cursor int64, done func(worker.Reports, error))
	// Machines reads the changes of the machine list.
	Machines(cursor int64, done func(machines.Update, error))
	// Announce asks another node to read the table now.
	Announce(address string)
}

// Recorder counts what happens. Reasons come from closed sets.
type Recorder interface {
	// Count adds one to a counter for a reason.
	Count(counter, reason string)
	// LogStateChange logs a change of state.
	LogStateChange(message string, keysAndValues ...any)
}

// Names of counters.
const (
	CounterRefusals    = "refusals"
	CounterRetries     = "retries"
	CounterTransitions = "job_transitions"
	CounterOwnership   = "ownership_changes"
	CounterTable       = "table_operations"
	CounterWorker      = "worker_orders"
	CounterAttempts    = "attempts"
)
