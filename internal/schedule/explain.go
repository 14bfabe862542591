package schedule

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/job"
)

// Reason is why a job waits.
type Reason string

// The reasons, of which the first that holds is given.
const (
	ReasonRunning     Reason = "running"
	ReasonVacating    Reason = "others_give_way"
	ReasonQuota       Reason = "tenant_quota"
	ReasonWitness     Reason = "guarantees_have_no_room"
	ReasonCapacity    Reason = "no_capacity"
	ReasonFragmented  Reason = "capacity_scattered"
	ReasonReservation Reason = "waits_for_reservation"
	ReasonUnknown     Reason = "unknown"
)

// Explanation says why a job waits, for what, and when it is expected to start.
type Explanation struct {
	State  job.State `json:"state"`
	Reason Reason    `json:"reason"`
	// Ahead counts queued jobs that are due before this one.
	Ahead int `json:"ahead"`
	// WaitsFor names the jobs whose end the start waits for, where known.
	WaitsFor []string `json:"waits_for,omitempty"`
	// ExpectedStart is an estimate from the run times that callers gave.
	ExpectedStart time.Time `json:"expected_start,omitzero"`
	// Due is when the job can no longer be overtaken.
	Due time.Time `json:"due,omitzero"`
}

// Explain tells why the job is where it is.
func (s *Scheduler) Explain(now time.Time, key job.Key) Explanation {
	s.now = now
	e, ok := s.entries[key]
	if !ok {
		return Explanation{Reason: ReasonUnknown}
	}
	switch e.phase {
	case running:
		return Explanation{Reason: ReasonRunning, ExpectedStart: e.startedAt}
	case vacating:
		return Explanation{Reason: ReasonVacating, Due: e.endsAt}
	case booked:
		return s.explainBooked(e)
	default:
		return s.explainWaiting(e)
	}
}

func (s *Scheduler) explainBooked(e *entry) Explanation {
	explanation := Explanation{Reason: ReasonVacating, ExpectedStart: s.now}
	for other := range e.blockers {
		explanation.WaitsFor = append(explanation.WaitsFor, other.key.String())
		explanation.ExpectedStart = later(explanation.ExpectedStart, other.endsAt)
	}
	return explanation
}

func (s *Scheduler) explainWaiting(e *entry) Explanation {
	explanation := Explanation{Reason: s.waitReason(e), Due: e.due}
	for _, other := range s.entries {
		if other.phase == waiting && other != e && earlier(other, e) < 0 {
			explanation.Ahead++
		}
	}
	held := s.holds.of(e)
	if held == nil {
		held = s.holds.best(e)
	}
	if held == nil {
		return explanation
	}
	explanation.ExpectedStart = held.at
	seen := map[*entry]bool{}
	for id := range held.amounts {
		for _, other := range s.occupants[id] {
			if !seen[other] && !other.endsAt.After(held.at) {
				seen[other] = true
				explanation.WaitsFor = append(explanation.WaitsFor, other.key.String())
			}
		}
	}
	return explanation
}

func (s *Scheduler) waitReason(e *entry) Reason {
	switch {
	case !s.withinQuota(e):
		return ReasonQuota
	case !e.spec.Repeatable && s.witness.missing() > 0:
		return ReasonWitness
	case s.holds.of(e) != nil:
		return ReasonReservation
	case s.cluster.Free() < int64(e.accelerators()):
		return ReasonCapacity
	default:
		return ReasonFragmented
	}
}
