// Package speeds estimates the speed of workers by comparing the times that several workers take
// for equal or similar work. The package reads no clock and does no I/O.
//
// The time per work of a worker is the time that the worker takes for one unit of work. The package
// calculates with logarithms of times, so that a ratio of speeds becomes a difference. An estimate
// is a normal distribution of the logarithm of a worker's time per work, relative to the other
// workers of the pool. A single outlier changes an estimate little, since the task may be long or
// the worker briefly disturbed. Repeated outliers change the estimate.
package speeds
