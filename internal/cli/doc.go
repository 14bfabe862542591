// Package cli implements the wheatroadctl command, which submits and follows jobs and
// plans and confirms configuration changes.
package cli
