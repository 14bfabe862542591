// Package cluster holds the capacity of workers, racks and zones and what of it
// is free, with indices that let a search touch few racks. It decides nothing.
package cluster
