// Package pool schedules the jobs of one pool of workers. One node at a time owns a
// pool: it took the pool's lease row with a conditional write, and the version of
// that row is the fencing token of every order. Every write of the owner is
// conditional on the head row, which each write replaces; so a former owner can
// write nothing, and a write whose answer was lost settles by repeating it.
//
// A run is started only after a row names the worker it goes to. A new owner thus
// knows for every task where it may run, asks those workers, which fences them, and
// goes on from what they list.
package pool
