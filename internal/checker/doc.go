// Package checker reads the history of a run and judges the promises: what callers
// asked and were told, what workers ran under which epochs, which configuration
// was confirmed and applied when, and which machines and nodes were leaving.
package checker
