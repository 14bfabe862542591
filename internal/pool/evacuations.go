package pool

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/evacuation"
	"github.com/wheatroad/wheatroad/internal/rows"
)

// Operators evacuate zones: no run may start there later than Bounds.EvacuationTimeout after the
// store acknowledged the evacuation. Owners poll for evacuations, so a start requires a set of
// evacuated zones that is not older than evacuationAgeLimit. A worker carries out the start at most
// maxStartDelay later, which is still within EvacuationTimeout.
const (
	// maxEvacuationAge bounds evacuationAgeLimit. A node's feed responds several times within this
	// period, as it waits for 0.3 s at most.
	maxEvacuationAge = 2 * time.Second
	// evacuationMargin is subtracted from the bound for late timers and a clock drift of 2%, which
	// is 0.1 s in five seconds.
	evacuationMargin = 250 * time.Millisecond
	// maxEvacuationReadAge bounds the age of the set from which the owner reads the rows itself.
	// The set grows old, for example, if the node's feed is unresponsive or the store refuses the
	// node.
	maxEvacuationReadAge = 800 * time.Millisecond
)

// maxStartDelay returns the time from sending a start to its deadline. A worker refuses a start
// after the deadline.
func (p *Pool) maxStartDelay() time.Duration {
	ahead := startTimeout
	if p.options.SchedulingDelay != nil {
		ahead += p.options.SchedulingDelay()
	}
	if bound := p.options.Bounds.EvacuationTimeout; bound > 0 {
		return min(ahead, bound/2)
	}
	return ahead
}

// evacuationAgeLimit returns the maximum age of the set of evacuated zones for a start; 0 if it is
// unlimited.
func (p *Pool) evacuationAgeLimit() time.Duration {
	bound := p.options.Bounds.EvacuationTimeout
	if bound <= 0 || p.options.DisabledSafeguards.EvacuationAge {
		return 0
	}
	return min(maxEvacuationAge, bound-p.maxStartDelay()-evacuationMargin)
}

// evacuationReadAgeLimit returns the age from which the owner reads the set again. It is at most
// half of evacuationAgeLimit, which leaves the other half for the read.
func (p *Pool) evacuationReadAgeLimit() time.Duration {
	if limit := p.evacuationAgeLimit(); limit > 0 {
		return min(maxEvacuationReadAge, limit/2)
	}
	return maxEvacuationReadAge
}

// evacuatedZones returns the newest known set of evacuated zones.
func (p *Pool) evacuatedZones() evacuation.Set {
	if p.options.EvacuatedZones == nil {
		return p.evacuationsRead
	}
	return p.evacuationsRead.Newest(p.options.EvacuatedZones())
}

// evacuationsFresh reports whether the set of evacuated zones is fresh enough for starts.
func (p *Pool) evacuationsFresh(now time.Time) bool {
	limit := p.evacuationAgeLimit()
	return limit == 0 || now.Sub(p.evacuatedZones().AsOf) <= limit
}

// mayStartOn reports whether a run may start on a worker, which requires that the worker's zone is
// known not to be evacuated.
func (p *Pool) mayStartOn(w *worker, now time.Time) bool {
	if p.options.DisabledSafeguards.Evacuations {
		return true
	}
	return p.evacuationsFresh(now) && !p.evacuatedZones().Contains(w.Zone)
}

// checkEvacuations handles changes of the evacuated zones, and reads the operators' rows if the set
// is older than evacuationReadAgeLimit.
func (p *Pool) checkEvacuations() {
	p.EvacuationsChanged()
	requestedAt := p.loop.Now()
	if p.evacuationReadInFlight || requestedAt.Sub(p.evacuatedZones().AsOf) < p.evacuationReadAgeLimit() {
		return
	}
	p.evacuationReadInFlight = true
	table, prefix := p.ports.EvacuationRows()
	p.ports.Scan(table, "", prefix, func(listing rows.Listing, err error) {
		p.evacuationReadInFlight = false
		if p.closed || err != nil {
			return
		}
		p.recordStoreAnswer()
		read := evacuation.NewSet(evacuation.ParseChanges(listing.Rows, p.ports.ParseEvacuationKey), listing.Version, requestedAt)
		p.evacuationsRead = p.evacuationsRead.Newest(read)
		p.EvacuationsChanged()
	})
}

// EvacuationsChanged logs a change of the evacuated zones or of their freshness, and schedules a
// cycle.
func (p *Pool) EvacuationsChanged() {
	if p.closed {
		return
	}
	current := p.evacuatedZones()
	fresh := p.evacuationsFresh(p.loop.Now())
	if current.SameZones(p.reportedEvacuations) && fresh == p.evacuationsWereFresh {
		return
	}
	p.reportedEvacuations, p.evacuationsWereFresh = current, fresh
	p.record.Set("evacuated_zones", int64(len(current.Zones())))
	p.record.LogEvent("evacuation state changed", "zones", current.Zones(), "known", fresh, "revision", current.Revision,
		"age_ms", p.loop.Now().Sub(current.AsOf).Milliseconds(), "runs_there", p.runsInEvacuatedZones())
	p.scheduleCycle()
}

// runsInEvacuatedZones returns the number of runs in evacuated zones. These runs continue, because
// a restart would lose work and take resources from other runs while a zone is missing.
func (p *Pool) runsInEvacuatedZones() int {
	count := 0
	zones := p.evacuatedZones()
	for _, w := range p.workers {
		if zones.Contains(w.Zone) {
			count += len(w.members)
		}
	}
	return count
}
