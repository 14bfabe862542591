// Package poison distinguishes tasks that crash their workers (poison tasks) from healthy tasks
// (verdict Sound). The package reads no clock and does no I/O.
//
// A loss is a worker that failed or stopped responding. A chance loss is a loss that no task on the
// worker caused. Each loss is evidence about every task that ran on the lost worker. The evidence
// is a likelihood ratio: the likelihood of the loss if the task is poison, divided by its
// likelihood if the task is healthy. If the task is healthy, either the loss is a chance loss or
// another task caused it. The odds that a task is poison are the prior odds times the likelihood
// ratios of all losses in the task's history.
package poison
