// Package poison distinguishes tasks that crash their workers (poison tasks) from sound tasks
// whose workers were lost by chance. It reads no clock and does no I/O.
//
// Each lost worker is evidence about every task that ran on it, expressed as a likelihood ratio:
// how much more likely a loss at that age of the task's run is if the task is poison than if it is
// sound. In the latter case the worker was lost by chance, at the rate observed around that time,
// or because of another task. The odds that a task is poison are the prior odds times the ratios
// of all workers lost under it.
package poison
