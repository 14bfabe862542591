// Package worker defines the protocol between the owner of a scheduling domain and the workers of
// the domain. The owner sends orders that reserve, start and stop members of a gang. The owner
// renews a lease, without which the worker stops the members. The workers report changes in a feed.
//
// Every order contains the owner's epoch. A worker rejects an order if the worker has seen a higher
// epoch for the domain. A superseded owner therefore cannot start anything.
package worker
