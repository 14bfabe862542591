// Package pool schedules the jobs of one pool of workers. Each pool is owned by one node
// at a time. The node acquires ownership by a conditional write of the pool's lease row,
// whose version is the fencing token of all its orders to workers. All writes of the
// owner are conditional on a head row that each of them replaces, so a former owner
// cannot write, and a write whose response was lost can be repeated safely.
//
// The worker of a run is persisted before the run is started. After a takeover the new
// owner therefore knows where each task may run. It contacts those workers, which fences
// the former owner there, and continues from the runs that they report.
package pool
