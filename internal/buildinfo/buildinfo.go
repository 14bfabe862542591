// Package buildinfo holds build metadata that the linker sets.
package buildinfo

// Version is the release version, set with -ldflags -X. Development builds report "dev".
var Version = "dev"
