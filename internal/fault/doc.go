// Package fault defines the API's error kinds and the table that maps each kind to its HTTP
// status, request outcome and retry delay. No other package chooses a status.
package fault
