package pool

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/evacuation"
	"github.com/wheatroad/wheatroad/internal/rows"
)

// Operators evacuate zones: no run may start there later than Bounds.Evacuation after the store
// acknowledged the evacuation. Owners poll for evacuations, so a start requires a set of evacuated
// zones that is not older than evacuationAge. With a delay of at most startAhead until the start
// is carried out, it stays within the bound.
const (
	// evacuationAgeMost bounds evacuationAge. It is several responses of a node's feed, which come
	// every 0.3 s.
	evacuationAgeMost = 2 * time.Second
	// evacuationMargin is subtracted from the bound for late timers and a clock drift of 2%.
	evacuationMargin = 250 * time.Millisecond
	// evacuationReadAgeMost bounds the age from which the owner reads the rows itself, for example
	// because its node's feed is silent or the store refuses the node.
	evacuationReadAgeMost = 800 * time.Millisecond
)

// startAhead returns how far a start's deadline lies ahead of the worker's clock. No start is
// carried out later.
func (p *Pool) startAhead() time.Duration {
	ahead := startLimit
	if p.options.Late != nil {
		ahead += p.options.Late()
	}
	if bound := p.options.Bounds.Evacuation; bound > 0 {
		return min(ahead, bound/2)
	}
	return ahead
}

// evacuationAge returns the maximum age of the set of evacuated zones for a start; 0 if it is
// unlimited.
func (p *Pool) evacuationAge() time.Duration {
	bound := p.options.Bounds.Evacuation
	if bound <= 0 || p.options.Without.EvacuationAge {
		return 0
	}
	return min(evacuationAgeMost, bound-p.startAhead()-evacuationMargin)
}

// evacuationReadAge returns the age of the set from which the owner reads it again. At most half of
// evacuationAge, so that the other half is left for the read.
func (p *Pool) evacuationReadAge() time.Duration {
	if limit := p.evacuationAge(); limit > 0 {
		return min(evacuationReadAgeMost, limit/2)
	}
	return evacuationReadAgeMost
}

// evacuated returns the newest known set of evacuated zones.
func (p *Pool) evacuated() evacuation.Set {
	if p.options.Evacuated == nil {
		return p.evacuatedRead
	}
	return p.evacuatedRead.Newest(p.options.Evacuated())
}

// evacuationsKnown reports whether the set of evacuated zones is fresh enough for starts.
func (p *Pool) evacuationsKnown(now time.Time) bool {
	limit := p.evacuationAge()
	return limit == 0 || now.Sub(p.evacuated().AsOf) <= limit
}

// mayStartOn reports whether a run may start on a worker: its zone is known not to be evacuated.
func (p *Pool) mayStartOn(w *worker, now time.Time) bool {
	if p.options.Without.Evacuations {
		return true
	}
	return p.evacuationsKnown(now) && !p.evacuated().Contains(w.Zone)
}

// checkEvacuations handles changes of the evacuated zones, and reads the operators' rows if the set
// is older than evacuationReadAge.
func (p *Pool) checkEvacuations() {
	p.NoteEvacuations()
	askedAt := p.loop.Now()
	if p.readingEvacuations || askedAt.Sub(p.evacuated().AsOf) < p.evacuationReadAge() {
		return
	}
	p.readingEvacuations = true
	table, prefix := p.ports.EvacuationRows()
	p.ports.Scan(table, "", prefix, func(listing rows.Listing, err error) {
		p.readingEvacuations = false
		if p.gone || err != nil {
			return
		}
		p.noteStore()
		read := evacuation.Of(evacuation.Changes(listing.Rows, p.ports.EvacuatedZone), listing.Version, askedAt)
		p.evacuatedRead = p.evacuatedRead.Newest(read)
		p.NoteEvacuations()
	})
}

// NoteEvacuations handles a change of the evacuated zones or of their freshness: it logs the change and
// schedules a cycle.
func (p *Pool) NoteEvacuations() {
	if p.gone {
		return
	}
	current := p.evacuated()
	known := p.evacuationsKnown(p.loop.Now())
	if current.SameZones(p.evacuatedNoted) && known == p.evacuationsWereKnown {
		return
	}
	p.evacuatedNoted, p.evacuationsWereKnown = current, known
	p.record.Set("evacuated_zones", int64(len(current.Zones())))
	p.record.Decided("evacuated zones", "zones", current.Zones(), "known", known, "revision", current.Revision,
		"age_ms", p.loop.Now().Sub(current.AsOf).Milliseconds(), "runs_there", p.runsInEvacuatedZones())
	p.scheduleCycle()
}

// runsInEvacuatedZones returns the number of runs in evacuated zones. They continue: a restart would
// lose work and take resources from others while a zone is missing.
func (p *Pool) runsInEvacuatedZones() int {
	count := 0
	zones := p.evacuated()
	for _, w := range p.workers {
		if zones.Contains(w.Zone) {
			count += len(w.members)
		}
	}
	return count
}
