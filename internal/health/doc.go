// Package health decides how far workers are trusted with runs, and what a task's scarce attempts
// are staked on. It learns from the failures and the progress of runs. Its functions read no clock;
// times are passed in.
package health
