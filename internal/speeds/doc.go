// Package speeds estimates the speed of workers from the time that equal work takes on several of
// them. It reads no clock and does no I/O.
//
// Times per work are logarithms, so that a ratio of speeds is a difference that does not depend on
// the amount of work. An estimate is a normal distribution of the logarithm, relative to the other
// workers of the pool. Outliers change it little, since a task may be long or a worker briefly
// disturbed; repeated ones do change it.
package speeds
