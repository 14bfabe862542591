// Package node is one process of wheatroad on a platform: it follows the
// configuration, knows the other nodes, takes pools that have no owner, and serves
// callers. Any node serves any caller; what only a pool's owner knows is asked of
// the owner, and a node that lost the store asks one that has it.
package node
