// Package blackboard holds a node's view of the cluster: members, leases of scheduling domains,
// the active configuration, and machines. Only the control goroutine accesses a Board. It publishes
// an immutable View, which all other goroutines read.
package blackboard
