package health

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRequirement(t *testing.T) {
	last := Attempt{Last: true, Members: 1, FailingShare: 0.15, Slack: 20 * time.Second}
	gang := Attempt{Spare: true, Members: 8, FailingShare: 0.15, Slack: 2 * time.Second}
	cases := []struct {
		name    string
		attempt Attempt
		change  func(*Attempt)
		want    Requirement
	}{
		{"last attempt with slack", last, func(*Attempt) {}, ProvenOnly},
		{"last attempt with slack that has waited", last, func(a *Attempt) { a.Waited = maxProofWait - 1 }, ProvenOnly},
		{"last attempt at the end of the wait for proof", last, func(a *Attempt) { a.Waited = maxProofWait }, Unsuspected},
		{"last attempt at the end of its wait", last, func(a *Attempt) { a.Waited = maxUnsuspectedWait }, NoPendingLastAttempt},
		{"last attempt without slack", last, func(a *Attempt) { a.Slack = 0 }, ProvenOnly},
		{"last attempt without slack that has waited", last, func(a *Attempt) { a.Slack, a.Waited = 0, minProofWait }, Unsuspected},
		{"starved last attempt", last, func(a *Attempt) { a.Starved = true }, NoPendingLastAttempt},
		{"starved last attempt while others are on trial", last, func(a *Attempt) { a.Starved, a.ProofExpected = true, true }, ProvenOnly},
		{"overdue last attempt", last, func(a *Attempt) { a.Starved, a.ProofExpected, a.Overdue = true, true, true }, AnyWorker},
		{"task with attempts to spare", gang, func(a *Attempt) { a.Members = 1 }, SuspectsOnTrial},
		{"starved task with attempts to spare", gang, func(a *Attempt) { a.Members, a.Starved = 1, true }, AnyWorker},
		{"gang in a wave", gang, func(*Attempt) {}, ProvenOnly},
		{"gang that has used a quarter of its slack", gang, func(a *Attempt) { a.Waited, a.Slack = 500*time.Millisecond, 1500*time.Millisecond }, SuspectsOnTrial},
		{"gang with much slack at the end of its wait", gang, func(a *Attempt) { a.Slack, a.Waited = time.Minute, maxGangWait }, SuspectsOnTrial},
		{"gang with few failing workers", gang, func(a *Attempt) { a.FailingShare = 0.01 }, Unsuspected},
		{"starved gang", gang, func(a *Attempt) { a.Starved = true }, AnyWorker},
		{"only attempt", gang, func(a *Attempt) { a.Spare, a.Members = false, 1 }, Unsuspected},
		{"urgent only attempt", gang, func(a *Attempt) { a.Spare, a.Members, a.Urgent, a.Waited = false, 1, true, maxUrgentWait-1 }, Unsuspected},
		{"urgent only attempt at the end of its wait", gang, func(a *Attempt) { a.Spare, a.Members, a.Urgent, a.Waited = false, 1, true, maxUrgentWait }, SuspectsOnTrial},
		{"only attempt at the end of its wait", gang, func(a *Attempt) { a.Spare, a.Members, a.Waited = false, 1, maxUnsuspectedWait }, SuspectsOnTrial},
	}
	for _, c := range cases {
		c.change(&c.attempt)
		require.Equal(t, c.want, c.attempt.Requirement(), c.name)
	}
}

// TestNoAttemptWaitsForEver checks that whatever waits is offered any worker without a pending last attempt in the end.
func TestNoAttemptWaitsForEver(t *testing.T) {
	unproven := WorkerState{Doubtful: true, Suspected: true}
	for _, last := range []bool{false, true} {
		for _, spare := range []bool{false, true} {
			for _, members := range []int{1, 100} {
				a := Attempt{Last: last, Spare: spare, Members: members, FailingShare: 0.9, Slack: time.Hour, Waited: maxUnsuspectedWait}
				require.True(t, a.Requirement().Admits(unproven), "%+v", a)
			}
		}
	}
}

func TestAdmits(t *testing.T) {
	proven := WorkerState{Proven: true, OnTrial: true, PendingLastAttempts: 1}
	unknown := WorkerState{}
	unknownInWave := WorkerState{Doubtful: true, OnTrial: true}
	pending := WorkerState{OnTrial: true, PendingLastAttempts: 1}
	suspect := WorkerState{Suspected: true, Doubtful: true}
	suspectOnTrial := WorkerState{Suspected: true, Doubtful: true, OnTrial: true}
	cases := []struct {
		requirement Requirement
		admitted    []WorkerState
		refused     []WorkerState
	}{
		{AnyWorker, []WorkerState{proven, unknown, unknownInWave, pending, suspect, suspectOnTrial}, nil},
		{SuspectsOnTrial, []WorkerState{proven, unknown, pending, suspect}, []WorkerState{unknownInWave, suspectOnTrial}},
		{NoPendingLastAttempt, []WorkerState{proven, unknown, unknownInWave, suspect, suspectOnTrial}, []WorkerState{pending}},
		{Unsuspected, []WorkerState{proven, unknown, unknownInWave}, []WorkerState{pending, suspect, suspectOnTrial}},
		{ProvenOnly, []WorkerState{proven}, []WorkerState{unknown, unknownInWave, pending, suspect, suspectOnTrial}},
	}
	for _, c := range cases {
		for _, state := range c.admitted {
			require.True(t, c.requirement.Admits(state), "%v %+v", c.requirement, state)
		}
		for _, state := range c.refused {
			require.False(t, c.requirement.Admits(state), "%v %+v", c.requirement, state)
		}
	}
}
