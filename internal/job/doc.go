// Package job holds the types that describe a job: what a caller asked for
// (Spec), what is recorded about it (Record) and where its members are
// (Assignment). It decides nothing.
package job
