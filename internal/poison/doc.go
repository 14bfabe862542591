// Package poison tells tasks that crash the workers they run on from sound tasks whose
// workers were lost by chance. It reads no clock and does no input or output.
//
// Each lost worker is evidence about every task that ran there. The evidence is a ratio of
// likelihoods: how much more often a worker is lost at that age of the task's run if the task
// is poison than if it is not. If it is not, the worker was lost by chance, at the rate that
// is seen beside it, or by another task there. The odds that a task is poison are those of
// any task times the ratios of all workers lost under it.
package poison
