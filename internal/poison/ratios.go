package poison

// updateRatios recomputes the likelihood ratio of this loss for each suspect. The computation uses
// the odds that the suspects have without this loss.
func (loss *workerLoss) updateRatios(workers int) {
	weights := make([]float64, len(loss.suspects))
	loss.suspectRate = 0
	for i, suspect := range loss.suspects {
		weights[i] = probability(suspect.History.oddsWithout(loss)) * crashDensity(suspect.Age)
		loss.suspectRate += weights[i]
	}
	for i := range loss.suspects {
		suspect := &loss.suspects[i]
		loss.weigh(suspect, loss.basisFor(suspect.History.group, weights, workers))
	}
}

// basisFor returns the values from which the ratios of a group's suspects are computed.
func (loss *workerLoss) basisFor(group *Group, weights []float64, workers int) *ratioBasis {
	basis := &ratioBasis{chanceRate: loss.baseChanceRate() + loss.nearbyChance.rate(group.groupChance(loss), workers, loss.followedFor)}
	for i := range loss.suspects {
		if loss.suspects[i].History.group != group {
			basis.othersRate += weights[i]
			basis.others++
		}
	}
	return basis
}

// weigh sets the evidence of this loss about a suspect.
func (loss *workerLoss) weigh(suspect *Suspect, basis *ratioBasis) {
	if evidence := suspect.History.lossOf(loss); evidence != nil {
		evidence.ratio, evidence.basis = crashDensity(suspect.Age)/(basis.chanceRate+basis.othersRate), basis
	}
}
