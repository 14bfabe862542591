package pool

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/evacuation"
	"github.com/wheatroad/wheatroad/internal/rows"
)

// Operators evacuate zones: nothing new may start there later than Bounds.Evacuation after the
// store has acknowledged it. No owner is told; it has to know from lately what the store says.
// A start that is sent by news of an age up to evacuationAge and is carried out up to
// startAhead later begins within that bound.
const (
	// evacuationAgeMost bounds that age. Chosen: several rounds of a node's feed, which is answered
	// each 0.3 s; other values were not compared.
	evacuationAgeMost = 2 * time.Second
	// evacuationMargin is left of the bound: timers that fire late and clocks that drift by
	// 2% in five seconds.
	evacuationMargin = 250 * time.Millisecond
	// evacuationReadAgeMost bounds the age from which the owner reads the rows itself: the node's
	// own feed is silent, or the store turns the node away while others reach it.
	evacuationReadAgeMost = 800 * time.Millisecond
)

// startAhead is how far ahead of a worker's clock a start's deadline lies: no start is carried
// out later than that.
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

// evacuationAge is how old what is known of evacuations may be when a start goes out; 0 if
// nothing bounds it.
func (p *Pool) evacuationAge() time.Duration {
	bound := p.options.Bounds.Evacuation
	if bound <= 0 || p.options.Without.EvacuationAge {
		return 0
	}
	return min(evacuationAgeMost, bound-p.startAhead()-evacuationMargin)
}

// evacuationReadAge leaves half of the age that starts may go by to the reading.
func (p *Pool) evacuationReadAge() time.Duration {
	if limit := p.evacuationAge(); limit > 0 {
		return min(evacuationReadAgeMost, limit/2)
	}
	return evacuationReadAgeMost
}

// evacuated returns the newest that is known of evacuated zones.
func (p *Pool) evacuated() evacuation.Set {
	if p.options.Evacuated == nil {
		return p.evacuatedRead
	}
	return p.evacuatedRead.Newest(p.options.Evacuated())
}

// evacuationsKnown reports whether it is known from lately which zones are evacuated.
func (p *Pool) evacuationsKnown(now time.Time) bool {
	limit := p.evacuationAge()
	return limit == 0 || now.Sub(p.evacuated().AsOf) <= limit
}

// mayStartOn reports whether a start may go to a worker's zone.
func (p *Pool) mayStartOn(w *worker, now time.Time) bool {
	if p.options.Without.Evacuations {
		return true
	}
	return p.evacuationsKnown(now) && !p.evacuated().Contains(w.Zone)
}

// checkEvacuations reads the operators' rows once nothing else has told of them, and tells of
// changes.
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

// NoteEvacuations tells of zones that were evacuated or taken back, and lets waiting units try
// again.
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
	p.wake()
}

// runsInEvacuatedZones counts the runs on workers of evacuated zones. They run on: to move them
// would throw work away and take room from others while a zone is missing.
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
