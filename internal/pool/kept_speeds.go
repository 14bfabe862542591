package pool

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wheatroad/wheatroad/internal/speeds"
)

// speedSection is the section of kept knowledge that holds the speeds of workers. A speed belongs
// to a machine, which is named by the worker's identifier, and not to one incarnation.
type speedSection struct{ pool *Pool }

// keptSpeed is the speed of a machine that an earlier owner kept.
type keptSpeed struct {
	kept speeds.Kept
	// exportedAt is when the earlier owner exported the speed, on this owner's clock.
	exportedAt time.Time
}

// speedDocument is the stored form of the speeds.
type speedDocument struct {
	Machines map[string]speeds.Kept `json:"machines"`
	Work     speeds.KeptWork        `json:"work"`
}

const (
	// maxSpeedBytes bounds the stored speeds. Machines that are closest to the average are dropped
	// first, since least is decided by their speeds.
	maxSpeedBytes = 24_000
	// speedEntryBytes is an upper bound on the size of an entry without the identifier.
	speedEntryBytes = 20
)

// Name returns the name of the section.
func (s *speedSection) Name() string { return "speeds" }

// Export returns the known speeds.
func (s *speedSection) Export(now time.Time) (json.RawMessage, error) {
	known := s.pool.keepableSpeeds(now)
	if len(known) == 0 {
		return nil, nil
	}
	return json.Marshal(speedDocument{Machines: mostDistinct(known, maxSpeedBytes), Work: s.pool.runTimeSpread.Keep()})
}

// keepableSpeeds returns the speeds of all machines of which something is known, including those of
// an earlier owner's machines that this owner has not listed yet.
func (p *Pool) keepableSpeeds(now time.Time) map[string]speeds.Kept {
	known := map[string]speeds.Kept{}
	for id, kept := range p.keptSpeeds {
		restored := kept.restore(now)
		if faded, ok := restored.Keep(); ok {
			known[id] = faded
		}
	}
	for id, w := range p.workers {
		if kept, ok := w.speed.Keep(); ok {
			known[id] = kept
		}
	}
	return known
}

func (k keptSpeed) restore(now time.Time) speeds.Estimate {
	return k.kept.Restore(now.Sub(k.exportedAt))
}

// machineSpeed is a machine's speed and how far it is from the average.
type machineSpeed struct {
	id           string
	kept         speeds.Kept
	distinctness float64
}

// mostDistinct returns the speeds that differ most from the average, within a number of bytes.
func mostDistinct(known map[string]speeds.Kept, maxBytes int) map[string]speeds.Kept {
	machines := make([]machineSpeed, 0, len(known))
	bytes := 0
	for id, kept := range known {
		machines = append(machines, machineSpeed{id: id, kept: kept, distinctness: kept.Distinctness()})
		bytes += len(id) + speedEntryBytes
	}
	if bytes <= maxBytes {
		return known
	}
	slices.SortFunc(machines, func(a, b machineSpeed) int {
		return cmp.Or(cmp.Compare(b.distinctness, a.distinctness), strings.Compare(a.id, b.id))
	})
	chosen := map[string]speeds.Kept{}
	for i := range machines {
		bytes := len(machines[i].id) + speedEntryBytes
		if bytes > maxBytes {
			break
		}
		maxBytes -= bytes
		chosen[machines[i].id] = machines[i].kept
	}
	return chosen
}

// Import merges the speeds that an earlier owner exported.
func (s *speedSection) Import(encoded json.RawMessage, now time.Time, age time.Duration) error {
	document, err := decodeSpeeds(encoded)
	if err != nil {
		return err
	}
	p := s.pool
	p.runTimeSpread.Merge(document.Work)
	p.keptSpeeds = map[string]keptSpeed{}
	for id, kept := range document.Machines {
		p.keptSpeeds[id] = keptSpeed{kept: kept, exportedAt: now.Add(-age)}
	}
	for _, w := range p.workers {
		p.restoreKeptSpeed(w)
	}
	p.medianAt = time.Time{}
	return nil
}

// restoreKeptSpeed merges the speed that an earlier owner kept of the worker's machine, if any.
func (p *Pool) restoreKeptSpeed(w *worker) {
	if kept, found := p.keptSpeeds[w.ID]; found {
		w.speed.Merge(kept.restore(p.loop.Now()))
		delete(p.keptSpeeds, w.ID)
	}
}

func decodeSpeeds(encoded json.RawMessage) (speedDocument, error) {
	var document speedDocument
	if err := json.Unmarshal(encoded, &document); err != nil {
		return speedDocument{}, errors.Wrap(err, "speeds")
	}
	if !document.Work.Plausible() {
		return speedDocument{}, errors.New("speeds: variance of work out of range")
	}
	for _, kept := range document.Machines {
		if !kept.Plausible() {
			return speedDocument{}, errors.New("speeds: speed out of range")
		}
	}
	return document, nil
}

// MateriallyChanged reports whether a machine has become known or its speed has changed.
func (s *speedSection) MateriallyChanged(written, current json.RawMessage, _ time.Duration) bool {
	before, err := decodeSpeeds(written)
	if err != nil {
		return true
	}
	after, err := decodeSpeeds(current)
	if err != nil {
		return false
	}
	for id, kept := range after.Machines {
		if kept.DiffersFrom(before.Machines[id]) {
			return true
		}
	}
	return false
}
