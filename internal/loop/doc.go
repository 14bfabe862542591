// Package loop provides an event loop that runs a process's control code on one goroutine. The
// emulator implements the same interface in virtual time.
package loop
