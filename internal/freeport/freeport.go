// Package freeport finds loopback addresses for processes that are started by tests and soaks.
package freeport

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// The addresses have ports below the ephemeral range, which starts at 32768 on Linux. Once Address
// has closed its listener, the system could assign an ephemeral port to another process.
const (
	firstPort = 10000
	portCount = 22000
	// portSpread is the distance between the first ports of processes with successive process IDs.
	portSpread = 611
)

// portCounter counts the ports tried.
var portCounter atomic.Int64

// Address returns an unused loopback address, a different one on each call.
func Address() (string, error) {
	var failure error
	for range portCount {
		port := firstPort + (int64(os.Getpid())*portSpread+portCounter.Add(1))%portCount
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			failure = err
			continue
		}
		address := listener.Addr().String()
		return address, listener.Close()
	}
	return "", failure
}
