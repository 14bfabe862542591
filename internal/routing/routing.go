// Package routing ranks the scheduling domains for a job from what a node knows.
// The domain's owner decides whether and where the job runs.
package routing

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/wheatroad/wheatroad/internal/blackboard"
	"github.com/wheatroad/wheatroad/internal/cluster"
	"github.com/wheatroad/wheatroad/internal/fault"
	"github.com/wheatroad/wheatroad/internal/job"
	"github.com/wheatroad/wheatroad/internal/machines"
)

// Rank lists the domains that a job may go to, best first: the one that it names,
// or else those that hold its tenant's guarantee, then of two drawn by the job's
// identifier the one with less work in front of it. The error is a *fault.Error.
func Rank(view *blackboard.View, spec *job.Spec) ([]string, error) {
	if spec.Zone != "" {
		return namedDomain(view, spec)
	}
	if len(view.Domains) == 0 {
		return nil, fault.New(fault.NoOwner, "this node knows no machines yet")
	}
	candidates := domainsThatFit(view, spec)
	if len(candidates) == 0 {
		return nil, fault.NewField(fault.Unsatisfiable, "members", "%d members of %d accelerators within one %s fit in no domain", spec.Members, spec.Accelerators, spec.Spread)
	}
	slices.SortFunc(candidates, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(guaranteeRank(view, spec, a), guaranteeRank(view, spec, b)),
			cmp.Compare(servedRank(view, a), servedRank(view, b)),
			cmp.Compare(spreadHash(spec, a), spreadHash(spec, b)),
		)
	})
	preferLessLoaded(view, spec, candidates)
	return candidates, nil
}

// spreadHash orders the domains differently for each job.
func spreadHash(spec *job.Spec, domain string) uint64 {
	return xxhash.Sum64String(spec.Tenant + "/" + spec.ID + "/" + domain)
}

// preferLessLoaded swaps the first two candidates of equal rank if the second has less
// work in front of it. Owners' summaries are seconds old; if every node sent every
// job to the least loaded domain, one domain would take all of a burst until the
// next summary. Two choices by chance avoid that (Mitzenmacher's power of two
// choices).
func preferLessLoaded(view *blackboard.View, spec *job.Spec, candidates []string) {
	if len(candidates) < 2 || guaranteeRank(view, spec, candidates[0]) != guaranteeRank(view, spec, candidates[1]) ||
		servedRank(view, candidates[0]) != servedRank(view, candidates[1]) {
		return
	}
	if backlog(view, spec, candidates[1]) < backlog(view, spec, candidates[0]) {
		candidates[0], candidates[1] = candidates[1], candidates[0]
	}
}

// namedDomain returns the domain of the job's zone, which is the zone itself or
// its region.
func namedDomain(view *blackboard.View, spec *job.Spec) ([]string, error) {
	region, _, _ := strings.Cut(spec.Zone, "/")
	for _, name := range []string{spec.Zone, region} {
		if _, ok := view.Domains[name]; ok {
			return []string{name}, nil
		}
	}
	return nil, fault.NewField(fault.InvalidRequest, "zone", "%q is unknown", spec.Zone)
}

func domainsThatFit(view *blackboard.View, spec *job.Spec) []string {
	var fit []string
	for name, list := range view.Domains {
		if fitsSomewhere(list, spec.Shape) {
			fit = append(fit, name)
		}
	}
	return fit
}

// fitsSomewhere reports whether a shape fits on a domain's machines when they are
// idle.
func fitsSomewhere(list []machines.Machine, shape job.Shape) bool {
	need := cluster.PerMember(shape)
	room := map[string]int{}
	for i := range list {
		group := groupOf(&list[i], shape.Spread)
		room[group] += cluster.CapacityOf(&list[i]).Holds(need)
		if room[group] >= shape.Members {
			return true
		}
	}
	return false
}

func groupOf(machine *machines.Machine, spread job.Spread) string {
	switch spread {
	case job.SpreadRack:
		return machine.Zone + "/" + machine.Rack
	case job.SpreadZone:
		return machine.Zone
	default:
		return ""
	}
}

// guaranteeRank is 0 for a domain that holds a guarantee which covers the job.
func guaranteeRank(view *blackboard.View, spec *job.Spec, domain string) int {
	tenant := view.Configuration.Declaration.FindTenant(spec.Tenant)
	if !spec.Guaranteed || tenant == nil {
		return 1
	}
	for _, guarantee := range tenant.Guarantees {
		if guarantee.Domain == domain && guarantee.Members >= spec.Members && guarantee.Accelerators >= spec.Accelerators {
			return 0
		}
	}
	return 1
}

// servedRank is 0 for a domain with an owner that serves it, as far as is known.
func servedRank(view *blackboard.View, domain string) int {
	lease, ok := view.Leases[domain]
	if ok && lease.Active && lease.Summary.Accelerators > 0 && alive(view, lease.Owner) {
		return 0
	}
	return 1
}

// backlog is the share of a domain's capacity that is taken or asked for, with the
// job itself.
func backlog(view *blackboard.View, spec *job.Spec, domain string) float64 {
	summary := view.Leases[domain].Summary
	taken := summary.Accelerators - summary.FreeAccelerators + summary.QueuedAccelerators + int64(spec.TotalAccelerators())
	return float64(taken) / float64(max(1, summary.Accelerators))
}

// alive reports whether a node's heartbeats are seen, which ends some time before its
// leases do.
func alive(view *blackboard.View, node string) bool {
	return slices.ContainsFunc(view.Members, func(m blackboard.Member) bool { return m.Node == node })
}
