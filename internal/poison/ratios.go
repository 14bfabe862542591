package poison

import "slices"

// suspectGroup holds what the suspects of one loss that belong to one group have in common. Their
// cause is one, so the group counts as one suspect, whatever the number of its members on the worker.
type suspectGroup struct {
	group *Group
	// weight is the rate of losses that the group would cause, per worker and second.
	weight float64
	// density is the highest probability density of a crash at the age of a member's run.
	density float64
}

// suspectGroups returns the groups of the loss's suspects, and of the runs that may have been on the
// worker. The weights use the odds that the tasks have without this loss.
func (loss *workerLoss) suspectGroups() []suspectGroup {
	groups := make([]suspectGroup, 0, len(loss.suspects)+len(loss.unconfirmed))
	for _, suspect := range slices.Concat(loss.suspects, loss.unconfirmed) {
		density := crashDensity(suspect.Age)
		weight := probability(suspect.History.oddsWithout(loss)) * density
		position := 0
		for position < len(groups) && groups[position].group != suspect.History.group {
			position++
		}
		if position == len(groups) {
			groups = append(groups, suspectGroup{group: suspect.History.group})
		}
		groups[position].weight = max(groups[position].weight, weight)
		groups[position].density = max(groups[position].density, density)
	}
	return groups
}

// updateRatios recomputes the likelihood ratio of this loss for each suspect.
func (loss *workerLoss) updateRatios(workers int) {
	groups := loss.suspectGroups()
	loss.suspectRate = 0
	for i := range groups {
		loss.suspectRate += groups[i].weight
	}
	for i := range groups {
		basis := loss.basisFor(groups, i, workers)
		for k := range loss.suspects {
			if suspect := &loss.suspects[k]; suspect.History.group == groups[i].group {
				loss.weigh(suspect, basis)
			}
		}
	}
}

// basisFor returns the values from which the ratios of one group's suspects are computed.
func (loss *workerLoss) basisFor(groups []suspectGroup, own, workers int) *ratioBasis {
	basis := &ratioBasis{
		chanceRate: loss.baseChanceRate() + loss.nearbyChance.rate(groups[own].group.groupChance(loss), workers, loss.followedFor),
		others:     len(groups) - 1,
	}
	for i := range groups {
		if i != own {
			basis.othersRate += groups[i].weight
			basis.othersDensity += groups[i].density
		}
	}
	return basis
}

// weigh sets the evidence of this loss about a suspect.
func (loss *workerLoss) weigh(suspect *Suspect, basis *ratioBasis) {
	evidence := suspect.History.lossOf(loss)
	if evidence == nil {
		return
	}
	density := crashDensity(suspect.Age)
	evidence.ratio, evidence.basis = density/(basis.chanceRate+basis.othersRate), basis
	evidence.conclusive = !suspect.AgeEstimated && density >= poisonOdds*basis.othersDensity
}
