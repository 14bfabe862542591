// Package node implements one wheatroad process of a cluster: it follows the configuration, tracks
// the other nodes, acquires pools that have no owner, and serves callers. Every node serves every
// caller; it forwards requests that need a pool's state to the pool's owner, and relays store calls
// through another node while it cannot reach the store itself.
package node
