// Package standin is the stand-in for the platform: the table service, the
// object store, the machine list and hollow workers, each with faults that can
// be switched while it runs. The cores are plain state machines with the time
// passed in; the HTTP server and the virtual-time emulator both drive them.
package standin
