package rows

import (
	"encoding/base64"

	"github.com/cockroachdb/errors"
)

// ErrRejected means that the store refuses a call for what the call contains. The call had no effect,
// and repeating it is useless. Errors that are marked with ErrRejected are marked with ErrNoEffect too.
var ErrRejected = errors.New("rows: call rejected for its content")

// Rejected marks an error as ErrRejected.
func Rejected(err error) error { return errors.Mark(errors.Mark(err, ErrNoEffect), ErrRejected) }

// Limits are the limits of the store for the content of a transaction.
type Limits struct {
	// RowBytes limits the value of a row, before it is encoded for a call.
	RowBytes int
	// NameBytes limits the name of a table, of a partition and of a row.
	NameBytes int
	// Entries limits the conditions, puts and removals of a transaction taken together.
	Entries int
	// TransactionBytes limits the encoded size of a transaction.
	TransactionBytes int
}

// DefaultLimits returns the limits of a store whose settings name no others.
func DefaultLimits() Limits {
	return Limits{RowBytes: 65_536, NameBytes: 200, Entries: 100, TransactionBytes: 1_000_000}
}

// RowLimit returns the largest value of a row that the store takes, in bytes: the configured one, or the
// default if that is 0.
func RowLimit(configured int) int {
	if configured > 0 {
		return configured
	}
	return DefaultLimits().RowBytes
}

// entryOverheadBytes is the size of an encoded entry without its names and its value.
const entryOverheadBytes = 80

// Check returns an error marked with ErrRejected if a transaction exceeds the limits.
func (l Limits) Check(transaction *Transaction) error {
	if entries := transaction.entries(); entries > l.Entries {
		return Rejected(errors.Newf("transaction has %d entries; at most %d are allowed", entries, l.Entries))
	}
	if bytes := transaction.encodedBytes(); bytes > l.TransactionBytes {
		return Rejected(errors.Newf("transaction has %d bytes; at most %d are allowed", bytes, l.TransactionBytes))
	}
	for i := range transaction.Puts {
		put := &transaction.Puts[i]
		if len(put.Value) > l.RowBytes {
			return Rejected(errors.Newf("row %s/%s/%s has %d bytes; at most %d are allowed", put.Table, put.Part, put.Name, len(put.Value), l.RowBytes))
		}
	}
	return l.checkKeys(transaction)
}

// checkKeys checks the names of all entries, and that they share one partition.
func (l Limits) checkKeys(transaction *Transaction) error {
	keys := transaction.keys()
	for _, key := range keys {
		if longest := max(len(key.Table), len(key.Part), len(key.Name)); longest > l.NameBytes {
			return Rejected(errors.Newf("a name in the key %s/%s/%s has %d bytes; at most %d are allowed", key.Table, key.Part, key.Name, longest, l.NameBytes))
		}
		if key.Part != keys[0].Part {
			return Rejected(errors.Newf("transaction names the partitions %q and %q", keys[0].Part, key.Part))
		}
	}
	return nil
}

func (t *Transaction) entries() int { return len(t.Conditions) + len(t.Puts) + len(t.Removes) }

// keys returns the keys of all entries.
func (t *Transaction) keys() []Key {
	keys := make([]Key, 0, t.entries())
	for i := range t.Conditions {
		keys = append(keys, t.Conditions[i].Key)
	}
	for i := range t.Puts {
		keys = append(keys, t.Puts[i].Key)
	}
	return append(keys, t.Removes...)
}

// encodedBytes returns an upper bound on the size of the transaction in a call.
func (t *Transaction) encodedBytes() int {
	bytes := 0
	for _, key := range t.keys() {
		bytes += entryOverheadBytes + len(key.Table) + len(key.Part) + len(key.Name)
	}
	for i := range t.Puts {
		bytes += base64.StdEncoding.EncodedLen(len(t.Puts[i].Value))
	}
	return bytes
}
