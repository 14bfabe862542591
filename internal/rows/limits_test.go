package rows

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

func TestLimits(t *testing.T) {
	limits := DefaultLimits()
	key := func(part, name string) Key { return Key{Table: "t", Part: part, Name: name} }
	put := func(bytes int) Transaction {
		return Transaction{Puts: []Put{{Key: key("p", "n"), Value: make([]byte, bytes)}}}
	}
	removes := func(count int) Transaction {
		return Transaction{Conditions: []Condition{{Key: key("p", "c")}}, Removes: make([]Key, count)}
	}
	samePart := func(t Transaction) Transaction {
		for i := range t.Removes {
			t.Removes[i].Part = "p"
		}
		return t
	}
	full := Transaction{}
	for range 12 {
		full.Puts = append(full.Puts, Put{Key: key("p", "n"), Value: make([]byte, limits.RowBytes)})
	}
	cases := map[string]struct {
		transaction Transaction
		rejected    string
	}{
		"empty":              {Transaction{}, ""},
		"largest row":        {put(limits.RowBytes), ""},
		"row too large":      {put(limits.RowBytes + 1), "row t/p/n has 65537 bytes; at most 65536"},
		"most entries":       {samePart(removes(limits.Entries - 1)), ""},
		"too many entries":   {samePart(removes(limits.Entries)), "101 entries"},
		"too many bytes":     {full, "transaction has"},
		"name too long":      {Transaction{Removes: []Key{key("p", strings.Repeat("n", 201))}}, "201 bytes"},
		"partition's name":   {Transaction{Removes: []Key{key(strings.Repeat("p", 201), "n")}}, "201 bytes"},
		"several partitions": {Transaction{Removes: []Key{key("p", "n"), key("q", "n")}}, `partitions "p" and "q"`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			err := limits.Check(&c.transaction)
			if c.rejected == "" {
				require.NoError(t, err)
				return
			}
			require.ErrorContains(t, err, c.rejected)
			require.True(t, errors.Is(err, ErrRejected), "%v", err)
			require.True(t, errors.Is(err, ErrNoEffect), "%v", err)
		})
	}
}
