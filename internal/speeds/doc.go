// Package speeds estimates how fast workers are, from how long equal work takes on several of them. It
// reads no clock and does no input or output.
//
// Times per work are handled as logarithms, so that a worker that takes twice as long as another differs
// from it by the same amount whatever the work. An estimate is a normal distribution of that logarithm,
// against the pool's other workers. Samples far from what is known move it little, since a task may be
// long, or a worker disturbed for a while; if they go on, they are believed.
package speeds
