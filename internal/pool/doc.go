// Package pool schedules the jobs of one pool of workers. Each pool is owned by one node at a time.
// The node acquires ownership by a conditional write of the pool's lease row, whose version is the
// fencing token of all its commands to workers. Each write of the owner is conditional on a head
// row and replaces this row. A former owner therefore cannot write, and the owner can safely repeat
// a write whose response was lost.
//
// The worker of a run is persisted before the run is started. After a takeover the new owner
// therefore knows where each task may run. The new owner contacts these workers. They then refuse
// commands of the former owner and report their runs, from which the new owner continues.
package pool
