// Package knowledge keeps what a pool's owner has learned for the owner after it. A stale, missing
// or unreadable part costs the next owner accuracy and nothing else.
package knowledge

import (
	"encoding/json"
	"time"
)

// Section is one part of what an owner has learned, for example the speeds of workers. A section
// encodes all of its times as ages, since the clocks of two owners differ.
type Section interface {
	// Name identifies the section in the stored row. Rows may hold sections of other names.
	Name() string
	// Export returns the section as of now, or nil if it has learned nothing that is worth keeping.
	Export(now time.Time) (json.RawMessage, error)
	// Import merges a section that an earlier owner exported. age is the time since the export. An
	// error leaves the section as it was.
	Import(document json.RawMessage, now time.Time, age time.Duration) error
}
