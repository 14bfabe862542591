package health

import "time"

const (
	// waveWorkers is the number of suspects, and waveShare the share of failing workers, from which
	// failures of several jobs are a wave. Two suspects at once are seldom
	// chance. The failures of a single job may be its own fault.
	waveWorkers = 2
	waveShare   = cautionChance
	// waveOverShare is the share below which a wave is over. It is lower than waveShare, so that one
	// more failure does not begin the wave anew.
	waveOverShare = waveShare / 2
)

// UpdateWave updates whether many workers fail at once. It reports whether that has changed.
func (r *Record) UpdateWave(now time.Time) (changed bool) {
	share := r.FailingShare(now)
	wave := r.Active(now) && share >= waveOverShare
	if !r.wave {
		wave = r.Active(now) && share >= waveShare && r.SuspectedWorkers(now) >= waveWorkers && r.tallies(now).severalJobs
	}
	changed = wave != r.wave
	r.wave = wave
	return changed
}

// Wave reports whether many workers failed at once at the last update.
func (r *Record) Wave() bool { return r.wave }

// FailingShare returns the estimated share of failing workers in the pool.
func (r *Record) FailingShare(now time.Time) float64 {
	return r.tallies(now).pool.share(baseShare, poolWeight)
}
