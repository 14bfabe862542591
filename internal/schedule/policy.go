package schedule

import "github.com/wheatroad/wheatroad/internal/fault"

// Strategy chooses among places that fit.
type Strategy int

// The placement strategies.
const (
	// FirstFit takes the first worker or rack in order of name.
	FirstFit Strategy = iota
	// BestFit takes the place that leaves the least free.
	BestFit
	// FragmentationAware takes the place that costs the shapes in demand least.
	FragmentationAware
)

// Policy holds the choices that differ between named policies.
type Policy struct {
	Name     string
	Strategy Strategy
	// Backfill lets later jobs start while an earlier one waits.
	Backfill bool
	// StretchFactor sets how long a job may be overtaken: it is due at its
	// submission plus this many times its estimated run time. 0 is first come,
	// first served.
	StretchFactor float64
	// Reservations bounds how many overdue jobs hold dated reservations at once.
	Reservations int
	// FragmentationWeight, 0 to 1, is the price of scattered capacity against
	// completion time.
	FragmentationWeight float64
	// PreemptRatio lets a short job push out work that has more than this many
	// times its run time left. 0 turns this off.
	PreemptRatio float64
	// WithoutWitness turns guarantees off, so that a test can show what they prevent.
	WithoutWitness bool
}

const (
	// defaultWeight is the middle between completion time and fragmentation.
	defaultWeight       = 0.5
	defaultReservations = 4
	// leastStretch holds at weight 1, and this much more at weight 0.
	leastStretch = 4
	moreStretch  = 12
	// leastPreemptRatio holds at weight 0; at weight 1 nothing is pushed out for
	// being long.
	leastPreemptRatio = 2
)

// Default returns the policy that the daemon uses unless settings say otherwise.
func Default() Policy { return Weighted(defaultWeight) }

// Weighted returns the policy for a price of scattered capacity against completion
// time, from 0 to 1. At 0 short jobs overtake and push out long ones readily; at 1
// nothing is pushed out for its length and jobs move together more readily.
func Weighted(weight float64) Policy {
	policy := Policy{
		Name: "wheatroad", Strategy: FragmentationAware, Backfill: true,
		Reservations: defaultReservations, FragmentationWeight: weight,
		StretchFactor: leastStretch + moreStretch*(1-weight),
	}
	if weight < 1 {
		policy.PreemptRatio = leastPreemptRatio / (1 - weight)
	}
	return policy
}

// Named returns a policy by its name.
func Named(name string) (Policy, error) {
	switch name {
	case "first-fit":
		return Policy{Name: name, Strategy: FirstFit}, nil
	case "best-fit":
		return Policy{Name: name, Strategy: BestFit, Backfill: true, Reservations: 1}, nil
	case "wheatroad":
		return Default(), nil
	}
	return Policy{}, fault.NewField(fault.InvalidRequest, "policy", "%q is not first-fit, best-fit or wheatroad", name)
}
