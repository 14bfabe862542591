// Package declaration defines the configuration that operators declare: tenants
// with their guarantees, quotas and access keys, and drained racks. It parses and
// validates TOML files and computes the differences between two declarations.
package declaration
