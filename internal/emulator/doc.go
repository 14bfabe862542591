// Package emulator runs whole systems in virtual time: the control state of many
// nodes as the daemon runs it, the platform's stand-in, callers and operators, on
// one goroutine and one seed, with faults at given rates. It writes a history for
// package checker.
package emulator
