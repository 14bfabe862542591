// Package blackboard holds a node's view of the cluster: members, leases of scheduling domains,
// the active configuration, and machines. Only the control goroutine accesses a Board. All other
// goroutines read the immutable View that it publishes.
package blackboard
