// Package health decides how far workers are trusted with runs, and which workers may be given
// a task's last attempt. It learns from the failures and the progress of runs. Its functions read no clock;
// times are passed in.
package health
