package checker

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/fault"
	"github.com/wheatroad/wheatroad/internal/job"
	"github.com/wheatroad/wheatroad/internal/standin"
)

// Promise names one of the promises that are judged.
type Promise string

// The promises.
const (
	GuaranteeReclaimable Promise = "guarantee_reclaimable"
	GangAllOrNothing     Promise = "gang_all_or_nothing"
	WholeAnswers         Promise = "whole_answers"
	NotRunMeansNotRun    Promise = "not_run_means_not_run"
	AtMostOnce           Promise = "at_most_once"
	LeavingGetsNoWork    Promise = "leaving_gets_no_work"
	PlannedStopCutsNone  Promise = "planned_stop_cuts_nothing"
	ConfigurationInForce Promise = "configuration_in_force"
)

// Promises lists all promises in the order in which users state them.
func Promises() []Promise {
	return []Promise{
		GuaranteeReclaimable, GangAllOrNothing, WholeAnswers, NotRunMeansNotRun,
		AtMostOnce, LeavingGetsNoWork, PlannedStopCutsNone, ConfigurationInForce,
	}
}

// Request is a submission and what its caller was told.
type Request struct {
	Spec       job.Spec
	SentAt     time.Time
	AnsweredAt time.Time
	// Accepted is true when the caller was told that the job is in the table.
	Accepted bool
	Kind     fault.Kind
	Outcome  fault.Outcome
	// Answered is false when the caller never got an answer.
	Answered bool
	// Entry is the node that took the request.
	Entry string
	// EntryStopped is true when that node was stopped as planned while the request
	// was under way.
	EntryStopped bool
}

// Answer is a job's record as a caller got it.
type Answer struct {
	At     time.Time
	Asked  job.Key
	Record *job.Record
}

// Applied is a configuration that a node put in force.
type Applied struct {
	At          time.Time
	Node        string
	Incarnation string
	Version     int64
}

// Confirmed is a configuration whose operator was told that it is confirmed.
type Confirmed struct {
	At      time.Time
	Version int64
	Tenants []string
}

// Outage is a stretch of time in which a node cannot be expected to act: it was
// dead, frozen or cut off. An empty node stands for all.
type Outage struct {
	Node  string
	From  time.Time
	Until time.Time
}

// Leaving is a stretch of time in which a worker was leaving.
type Leaving struct {
	Worker string
	From   time.Time
	Until  time.Time
}

// Starved is a guaranteed job that could not start in time though its guarantee
// covered it.
type Starved struct {
	Key    job.Key
	Since  time.Time
	Until  time.Time
	Detail string
}

// History is everything that happened in a run.
type History struct {
	Requests   []*Request
	Answers    []Answer
	Executions []standin.Execution
	Applied    []Applied
	Confirmed  []Confirmed
	Outages    []Outage
	Leaving    []Leaving
	Starved    []Starved
	// Nodes lists the node names that were to be alive.
	Nodes []string
	End   time.Time
}

// Break is a promise that did not hold.
type Break struct {
	Promise Promise
	At      time.Time
	Detail  string
}

// Bounds are the times that the promises leave room for.
type Bounds struct {
	// Leaving is how long a leaving worker may still get work.
	Leaving time.Duration
	// InForce is how long a confirmed configuration may take.
	InForce time.Duration
}

// DefaultBounds are those of the plan.
func DefaultBounds() Bounds { return Bounds{Leaving: 5 * time.Second, InForce: 11 * time.Second} }
