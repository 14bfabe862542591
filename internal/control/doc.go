// Package control is the control state of one node: which scheduling domains it
// owns, the jobs in them, and the orders to their workers. All of it runs on one
// loop; the outside is reached through asynchronous ports whose answers come back
// on that loop. Nothing here blocks, reads a clock but the loop's, or starts a
// goroutine, so that the emulator drives the same code in virtual time.
package control
