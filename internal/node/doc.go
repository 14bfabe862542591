// Package node implements one wheatroad process of a cluster. A node follows the configuration,
// tracks the other nodes, acquires pools that have no owner, and serves callers. Every node serves
// every caller. A node forwards requests that need a pool's state to the pool's owner. While a node
// cannot reach the store, it relays its store calls through another node.
package node
