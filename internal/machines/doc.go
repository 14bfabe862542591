// Package machines defines the platform's machine list. The list is eventually
// consistent: a machine may be gone while its entry is still live.
package machines
