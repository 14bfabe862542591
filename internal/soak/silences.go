package soak

import (
	"math/rand/v2"
	"time"
)

// Silence makes the open connections between one daemon and the platform silent for good,
// while new ones work.
type Silence struct {
	At time.Duration `json:"at"`
	// Target numbers a daemon; it is taken modulo their count.
	Target int `json:"target"`
}

const (
	// silencesEvery is one in how many seeds has silences, and silencesDrawn the draw that
	// gives a seed some: one that leaves the seeds of soak/regressions.txt without.
	silencesEvery = 2
	silencesDrawn = 1
	// A series has up to mostSilences, silenceGap apart or less, so that the connections
	// that replace silent ones go silent too.
	mostSilences = 4
	silenceGap   = 1500 * time.Millisecond
	// silenceEffect is how long a silence touches its daemon: a feed that waits.
	silenceEffect = 5 * time.Second
)

// NewSilences draws the series of silences of a run: the same for the same seed and
// length. It takes nothing from the numbers that NewPlan draws, so that the series
// overlap with its faults.
func NewSilences(seed uint64, length time.Duration) []Silence {
	random := rand.New(rand.NewPCG(seed, 4))
	if random.IntN(silencesEvery) != silencesDrawn {
		return nil
	}
	var silences []Silence
	target := random.IntN(1 << 16)
	at := time.Duration(random.Int64N(int64(length)))
	for range 1 + random.IntN(mostSilences) {
		silences = append(silences, Silence{At: at, Target: target})
		at += time.Duration(random.Int64N(int64(silenceGap)))
		target += random.IntN(2)
	}
	return silences
}
