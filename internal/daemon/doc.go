// Package daemon builds a node from its settings, adapters, control loop, and peer and HTTP
// servers, and starts and stops them in order.
package daemon
