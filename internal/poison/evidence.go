package poison

import "time"

// ratioBasis holds the values that a likelihood ratio was computed from.
type ratioBasis struct {
	// chanceRate is the rate of chance losses, and othersRate the rate of losses that the other
	// suspects would cause. Both are per worker and second.
	chanceRate, othersRate float64
	// othersDensity is the sum of the probability densities of a crash at the ages of the other
	// suspects' runs.
	othersDensity float64
	// others is the number of other suspects, with runs that may have been on the worker. Tasks of one
	// group count as one suspect.
	others int
}

// Evidence describes what one loss says about a task, for logs.
type Evidence struct {
	Worker string
	// Age is the age of the run at the loss; AgeKnown is false if it was an estimate.
	Age      time.Duration
	AgeKnown bool
	// Ratio is the likelihood of the loss if the task is poison, divided by its likelihood if the
	// task is healthy.
	Ratio float64
	// Unexplained losses count toward the limit of losses but are not evidence.
	Unexplained bool
	// Conclusive losses can't be blamed on another suspect.
	Conclusive bool
	// Weighed is true if this owner has computed the ratio, and the fields below are known.
	Weighed bool
	// ChanceRate is the rate of chance losses around the loss, and OthersRate the rate of losses that
	// the other suspects would cause. Both are per worker and second.
	ChanceRate, OthersRate float64
	// Others is the number of other suspects, with runs that may have been on the worker. Tasks of one
	// group count as one suspect.
	Others int
	// OthersOdds are the present odds of the likeliest other suspect; 0 if the loss is settled.
	OthersOdds float64
}

// Evidence returns what each loss of the history says about the task.
func (h *History) Evidence() []Evidence {
	evidence := make([]Evidence, 0, len(h.losses))
	for i := range h.losses {
		evidence = append(evidence, h.losses[i].describe(h.group))
	}
	return evidence
}

func (l *taskLoss) describe(group *Group) Evidence {
	described := Evidence{Worker: l.worker, Age: l.age, AgeKnown: l.age != unknownAge, Ratio: l.ratio, Unexplained: l.unexplained, Conclusive: l.conclusive}
	if l.weighed {
		described.Weighed = true
		described.ChanceRate, described.OthersRate, described.Others = l.basis.chanceRate, l.basis.othersRate, l.basis.others
	}
	if l.loss != nil {
		described.OthersOdds = l.loss.highestOddsOutside(group)
	}
	return described
}

// highestOddsOutside returns the odds of the likeliest suspect outside a group; 0 if there is none.
func (loss *workerLoss) highestOddsOutside(group *Group) float64 {
	highest := 0.0
	for _, suspect := range loss.suspects {
		if suspect.History.group != group {
			highest = max(highest, suspect.History.Odds())
		}
	}
	return highest
}

// PriorOdds returns the odds that a task without losses is poison.
func (l *LossTracker) PriorOdds() float64 { return l.prior.odds() }
