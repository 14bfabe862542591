// Package standin simulates the platform: the table service, the object store, the machine list
// and workers that run no processes, with fault injection. The state machines take the current
// time as an argument; the HTTP server and the virtual-time emulator both use them.
package standin
