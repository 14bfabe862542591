package pool

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wheatroad/wheatroad/internal/fleet"
)

// addressSection is the section of kept knowledge that holds the addresses at which workers have
// answered. If another worker answers the next owner there, the known incarnation has ended.
type addressSection struct{ pool *Pool }

// keptAddress is the stored form of an address at which an incarnation of a worker has answered.
type keptAddress struct {
	Address     string `json:"a"`
	StartMillis int64  `json:"b,omitempty"`
}

const (
	// maxAddressesBytes bounds the stored addresses. Workers beyond it are left out.
	maxAddressesBytes = 16_000
	// addressEntryBytes is an upper bound on the size of an entry without the identifier and the address.
	addressEntryBytes = 40
	// maxAddressBytes bounds an address that is taken over.
	maxAddressBytes = 200
)

// Name returns the name of the section.
func (s *addressSection) Name() string { return "addresses" }

// Export returns the addresses at which workers have answered this owner, and those that an earlier owner
// kept of workers that have not.
func (s *addressSection) Export(time.Time) (json.RawMessage, error) {
	known := map[string]keptAddress{}
	for id, w := range s.pool.workers {
		if w.addressConfirmed() {
			known[id] = keptAddress{Address: w.Address, StartMillis: w.StartMillis}
		} else if kept, found := s.pool.keptAddresses[id]; found {
			known[id] = kept
		}
	}
	if len(known) == 0 {
		return nil, nil
	}
	return json.Marshal(withinBytes(known, maxAddressesBytes))
}

// withinBytes returns the addresses that fit into a number of bytes, in the order of the identifiers.
func withinBytes(known map[string]keptAddress, maxBytes int) map[string]keptAddress {
	chosen := map[string]keptAddress{}
	for _, id := range slices.Sorted(maps.Keys(known)) {
		maxBytes -= len(id) + len(known[id].Address) + addressEntryBytes
		if maxBytes < 0 {
			break
		}
		chosen[id] = known[id]
	}
	return chosen
}

// Import takes over the addresses that an earlier owner exported.
func (s *addressSection) Import(encoded json.RawMessage, _ time.Time, _ time.Duration) error {
	known, err := decodeAddresses(encoded)
	if err != nil {
		return err
	}
	s.pool.keptAddresses = known
	for _, w := range s.pool.sortedWorkers() {
		if w.Address == "" {
			w.addAddress(s.pool.keptAddressOf(w.Incarnation))
			s.pool.enqueueFirstContact(w)
		}
	}
	return nil
}

func decodeAddresses(encoded json.RawMessage) (map[string]keptAddress, error) {
	var known map[string]keptAddress
	if err := json.Unmarshal(encoded, &known); err != nil {
		return nil, errors.Wrap(err, "addresses")
	}
	for _, kept := range known {
		if kept.Address == "" || len(kept.Address) > maxAddressBytes || kept.StartMillis < 0 {
			return nil, errors.New("addresses: entry out of range")
		}
	}
	return known, nil
}

// MateriallyChanged reports whether a worker has answered at another address than the written one.
func (s *addressSection) MateriallyChanged(written, current json.RawMessage, _ time.Duration) bool {
	before, err := decodeAddresses(written)
	if err != nil {
		return true
	}
	after, err := decodeAddresses(current)
	if err != nil {
		return false
	}
	for id, kept := range after {
		if before[id] != kept {
			return true
		}
	}
	return false
}

// keptAddressOf returns the address at which an incarnation of a worker has answered an earlier owner,
// or "".
func (p *Pool) keptAddressOf(incarnation fleet.Incarnation) string {
	kept := p.keptAddresses[incarnation.ID]
	if kept.StartMillis != incarnation.StartMillis {
		return ""
	}
	return kept.Address
}

// answeredEarlierOwnerAt reports whether the worker has answered an earlier owner at an address. What is
// known of the worker's incarnation must not come from its row alone.
func (p *Pool) answeredEarlierOwnerAt(w *worker, address string) bool {
	return !w.startClaimed && address != "" && p.keptAddressOf(w.Incarnation) == address
}
