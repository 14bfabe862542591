// Package planning computes the effect of an operator's declaration: what would change, which
// domains would hold each guarantee, and whether all guarantees can be met at the same time. A plan
// takes effect only when an operator confirms it.
//
// A guarantee is capacity that is guaranteed to a tenant: a number of copies of one shape. A shape
// is a number of gang members, the accelerators of each member, and the spread. The spread limits
// how far apart the members may be placed.
package planning
