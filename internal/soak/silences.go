package soak

import (
	"math/rand/v2"
	"time"
)

// Silence makes the open connections between a daemon and the platform unresponsive. They do not
// recover, but new connections work.
type Silence struct {
	At time.Duration `json:"at"`
	// Target is the index of a daemon, modulo their number.
	Target int `json:"target"`
}

const (
	// One in silencesEvery seeds has silences: those that draw silencesDrawn. The seeds of
	// soak/regressions.txt draw another number.
	silencesEvery = 2
	silencesDrawn = 1
	// A series has up to maxSilences silences, at most maxSilenceGap apart. The later ones affect the
	// connections that the daemon opened after the earlier ones.
	maxSilences   = 4
	maxSilenceGap = 1500 * time.Millisecond
	// silenceEffect is how long a silence affects the daemon. It equals the wait of a feed call.
	silenceEffect = 5 * time.Second
)

// NewSilences returns the silences of a run. They depend only on the seed and length and use a
// separate random stream, so that they overlap with the faults of the plan.
func NewSilences(seed uint64, length time.Duration) []Silence {
	random := rand.New(rand.NewPCG(seed, 4))
	if random.IntN(silencesEvery) != silencesDrawn {
		return nil
	}
	var silences []Silence
	target := random.IntN(1 << 16)
	at := time.Duration(random.Int64N(int64(length)))
	for range 1 + random.IntN(maxSilences) {
		silences = append(silences, Silence{At: at, Target: target})
		at += time.Duration(random.Int64N(int64(maxSilenceGap)))
		target += random.IntN(2)
	}
	return silences
}
