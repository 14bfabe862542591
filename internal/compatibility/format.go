// Package compatibility lets nodes of different versions run side by side while machines are
// replaced one after the other, forwards or back. The package reads no clock and does no I/O.
//
// Within one format, rows and messages change only in ways that other versions tolerate: fields are
// added, readers ignore fields that they do not know, and an absent field has the meaning that it
// had before the field existed. Any other change needs a new format.
package compatibility

// Format numbers the formats of a pool's rows. Rows of one pool all have the same format, which the
// pool's lease states.
type Format int

const (
	// Baseline is the format of rows and members that state none.
	Baseline Format = 1
	// Newest is the newest format that this build reads and writes.
	Newest Format = 1
)

// Effective returns the format that a stated format stands for. A row or member of a version without
// formats states 0.
func Effective(stated Format) Format { return max(Baseline, stated) }

// Readable reports whether this build can read rows of the stated format.
func Readable(stated Format) bool { return Effective(stated) <= Newest }

// PoolFormat returns the format in which a new owner writes a pool's rows: the newest format that
// the owner and all members can read, so that each of them can take the pool over. It is not older
// than the format in which the pool's rows exist.
func PoolFormat(existing, own Format, members []Format) Format {
	common := Effective(own)
	for _, member := range members {
		common = min(common, Effective(member))
	}
	return max(common, Effective(existing))
}
