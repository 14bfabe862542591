// Package compatibility lets nodes of different versions run side by side while machines are
// replaced one after the other, forwards or back. The package reads no clock and does no I/O.
//
// Within one format, rows and messages change only in ways that other versions tolerate: fields are
// added, readers ignore fields that they do not know, and an absent field has the meaning that it
// had before the field existed. Any other change needs a new format. A pool keeps its format until one
// of its rows needs a newer one, so that earlier versions can own it for as long as possible.
package compatibility

// Format numbers the formats of a pool's rows. Rows of one pool all have the same format, which the
// pool's lease states.
type Format int

const (
	// Baseline is the format of rows and members that state none.
	Baseline Format = 1
	// CompactProgress has progress rows that list ended repetitions of a job as ranges and complete steps
	// of the others as bit sets. Readers of the baseline take neither into account.
	CompactProgress Format = 2
	// Newest is the newest format that this build reads and writes.
	Newest = CompactProgress
)

// Effective returns the format that a stated format stands for. A row or member of a version without
// formats states 0.
func Effective(stated Format) Format { return max(Baseline, stated) }

// Readable reports whether this build can read rows of the stated format.
func Readable(stated Format) bool { return Effective(stated) <= Newest }

// Common returns the newest format that a node and all given members can read. An owner raises the
// format of its pool's rows up to it once a row needs that, so that each member can take the pool over.
func Common(own Format, members []Format) Format {
	common := Effective(own)
	for _, member := range members {
		common = min(common, Effective(member))
	}
	return common
}
