// Package settings reads and validates the daemon's TOML settings. It reports all invalid
// keys at once.
package settings
