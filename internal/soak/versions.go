package soak

import "math/rand/v2"

// programs chooses the program of a daemon at each of its starts. With two versions the choice is
// random, so that machines are upgraded and downgraded while others run the other version.
type programs struct {
	paths  []string
	random *rand.Rand
}

// versionStream is the random stream of the first daemon's versions, apart from those of faults.
const versionStream = 1000

// programsFor returns the programs of a daemon. The choices depend only on the seed and the daemon's
// number.
func (o *Options) programsFor(number int) programs {
	paths := []string{o.DaemonPath}
	if o.OtherDaemonPath != "" {
		paths = append(paths, o.OtherDaemonPath)
	}
	return programs{paths: paths, random: rand.New(rand.NewPCG(o.Seed, versionStream+uint64(number)))}
}

// next returns the program of the next start.
func (p *programs) next() string { return p.paths[p.random.IntN(len(p.paths))] }
