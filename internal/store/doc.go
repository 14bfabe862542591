// Package store defines the interfaces to the platform's table service and object store.
// Subpackages implement the interfaces.
//
// The table service stores rows under string keys. Each committed transaction gets the next
// revision, and each row has the revision that last wrote it. Conditions compare revisions, never
// contents.
package store
