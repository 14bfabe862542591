// Package worker defines the protocol between the owner of a scheduling domain and its workers:
// orders that reserve, start and stop members of a gang, the lease that keeps them running, and
// the feed of reports.
//
// Every order carries the owner's epoch. A worker rejects orders with an epoch lower than the
// highest it has seen, so that an owner that was superseded cannot start anything.
package worker
