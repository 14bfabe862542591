// Package planning computes what an operator's declaration would change, which domain would hold
// each guarantee, and whether all guarantees can be met at the same time. A plan takes effect only
// when it is confirmed.
package planning
