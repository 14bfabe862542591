package poison

import "slices"

// suspectGroup holds the suspects of one loss that belong to one group. Their cause is one, so the
// group counts as one suspect, whatever the number of its members on the worker.
type suspectGroup struct {
	group *Group
	// suspects are the runs that were on the worker, and unconfirmed those that may have been.
	suspects, unconfirmed []Suspect
	// weight is the rate of losses that the group would cause, per worker and second.
	weight float64
	// density is the highest probability density of a crash at the age of a member's run.
	density float64
}

// newSuspectGroups sorts the suspects of a loss, and the runs that may have been on its worker, by
// their groups.
func newSuspectGroups(suspects, unconfirmed []Suspect) []suspectGroup {
	var groups []suspectGroup
	find := func(group *Group) *suspectGroup {
		position := slices.IndexFunc(groups, func(known suspectGroup) bool { return known.group == group })
		if position < 0 {
			position = len(groups)
			groups = append(groups, suspectGroup{group: group})
		}
		return &groups[position]
	}
	for _, suspect := range suspects {
		found := find(suspect.History.group)
		found.suspects = append(found.suspects, suspect)
	}
	for _, suspect := range unconfirmed {
		found := find(suspect.History.group)
		found.unconfirmed = append(found.unconfirmed, suspect)
	}
	return groups
}

// update recomputes the group's weight and density. The weight uses the odds that the tasks have
// without the loss.
func (g *suspectGroup) update(loss *workerLoss) {
	g.weight, g.density = 0, 0
	for _, runs := range [...][]Suspect{g.suspects, g.unconfirmed} {
		for i := range runs {
			density := crashDensity(runs[i].Age)
			g.density = max(g.density, density)
			g.weight = max(g.weight, probability(runs[i].History.oddsWithout(loss))*density)
		}
	}
}

// updateRatios recomputes the likelihood ratio of this loss for each suspect.
func (loss *workerLoss) updateRatios(workers int) {
	loss.suspectRate = 0
	density := 0.0
	for i := range loss.groups {
		loss.groups[i].update(loss)
		loss.suspectRate += loss.groups[i].weight
		density += loss.groups[i].density
	}
	for i := range loss.groups {
		group := &loss.groups[i]
		basis := ratioBasis{
			chanceRate:    loss.baseChanceRate() + loss.nearbyChance.rate(group.group.groupChance(loss), workers, loss.followedFor),
			othersRate:    max(0, loss.suspectRate-group.weight),
			othersDensity: max(0, density-group.density),
			others:        len(loss.groups) - 1,
		}
		for k := range group.suspects {
			loss.weigh(&group.suspects[k], basis)
		}
	}
}

// weigh sets the evidence of this loss about a suspect.
func (loss *workerLoss) weigh(suspect *Suspect, basis ratioBasis) {
	evidence := suspect.History.lossOf(loss)
	if evidence == nil {
		return
	}
	density := crashDensity(suspect.Age)
	evidence.ratio, evidence.basis, evidence.weighed = density/(basis.chanceRate+basis.othersRate), basis, true
	evidence.conclusive = !suspect.AgeEstimated && density >= poisonOdds*basis.othersDensity
}
