package checker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/fault"
	"github.com/wheatroad/wheatroad/internal/job"
	"github.com/wheatroad/wheatroad/internal/standin"
	"github.com/wheatroad/wheatroad/internal/worker"
)

func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

func begin(seconds float64, attempt int, members ...int) standin.Execution {
	return standin.Execution{At: at(seconds), Worker: "w", Tenant: "t", Job: "j", Attempt: attempt, Members: members, Began: true}
}

func end(seconds float64, attempt int, state worker.TaskState, members ...int) standin.Execution {
	return standin.Execution{At: at(seconds), Worker: "w", Tenant: "t", Job: "j", Attempt: attempt, Members: members, State: state}
}

// sound is a history in which everything holds: a gang of two ran twice, since its
// first attempt lost a worker.
func sound() *History {
	spec := job.Spec{ID: "j", Tenant: "t", Shape: job.Shape{Members: 2}, Repeatable: true}
	record := &job.Record{Spec: spec, State: job.Finished, Attempt: 2, Outcome: fault.Ran, Results: make([]job.MemberResult, 2)}
	return &History{
		Requests: []*Request{{Spec: spec, SentAt: at(1), AnsweredAt: at(2), Answered: true, Accepted: true, Outcome: fault.NotRun, Entry: "n1"}},
		Answers:  []Answer{{At: at(60), Asked: record.Key(), Record: record}},
		Executions: []standin.Execution{
			begin(3, 1, 0), begin(3, 1, 1), end(10, 1, worker.TaskStopped, 0), end(12, 1, worker.TaskStopped, 1),
			begin(13, 2, 0, 1), end(50, 2, worker.TaskFinished, 0, 1),
		},
		Confirmed: []Confirmed{{At: at(0), Version: 1, Tenants: []string{"t"}}},
		Applied:   []Applied{{At: at(0.5), Node: "n1", Incarnation: "i", Version: 1}},
		Nodes:     []string{"n1"},
		End:       at(100),
	}
}

func TestSoundHistoryBreaksNothing(t *testing.T) {
	require.Empty(t, Check(sound(), DefaultBounds()))
}

func TestEachPromiseCanBreak(t *testing.T) {
	cases := map[string]struct {
		spoil func(*History)
		want  Promise
	}{
		"a covered guaranteed job waits": {func(h *History) { h.Starved = []Starved{{Until: at(50)}} }, GuaranteeReclaimable},
		"attempts overlap":               {func(h *History) { h.Executions[3].At = at(14) }, GangAllOrNothing},
		"a gang runs on in part": {func(h *History) {
			h.Executions = []standin.Execution{begin(3, 1, 0)}
			h.End = at(200)
			h.Answers = nil
		}, GangAllOrNothing},
		"another job's answer": {func(h *History) { h.Answers[0].Asked.ID = "other" }, WholeAnswers},
		"a result is missing":  {func(h *History) { h.Answers[0].Record.Results = h.Answers[0].Record.Results[:1] }, WholeAnswers},
		"told finished in part": {func(h *History) {
			h.Executions[5].Members = []int{0}
		}, WholeAnswers},
		"told not run, but ran": {func(h *History) {
			h.Requests[0].Accepted = false
			h.Requests[0].Kind = fault.StoreUnavailable
		}, NotRunMeansNotRun},
		"ended as not run, but ran": {func(h *History) {
			h.Answers[0].Record.State = job.Failed
			h.Answers[0].Record.Outcome = fault.NotRun
		}, NotRunMeansNotRun},
		"run twice though not to be repeated": {func(h *History) {
			h.Requests[0].Spec.Repeatable = false
			h.Answers[0].Record.Spec.Repeatable = false
		}, AtMostOnce},
		"a member begins twice":        {func(h *History) { h.Executions[1].Members = []int{0, 1} }, AtMostOnce},
		"a leaving worker gets work":   {func(h *History) { h.Leaving = []Leaving{{Worker: "w", From: at(5), Until: at(90)}} }, LeavingGetsNoWork},
		"a planned stop cuts a caller": {func(h *History) { h.Requests[0].Answered = false; h.Requests[0].EntryStopped = true }, PlannedStopCutsNone},
		"a version goes back": {func(h *History) {
			h.Applied = append(h.Applied, Applied{At: at(20), Node: "n1", Incarnation: "i", Version: 0})
		}, ConfigurationInForce},
		"a version comes late": {func(h *History) { h.Applied[0].At = at(12) }, ConfigurationInForce},
		"a job of a tenant no longer declared": {func(h *History) {
			h.Confirmed = append(h.Confirmed, Confirmed{At: at(20), Version: 2})
			h.Applied = append(h.Applied, Applied{At: at(21), Node: "n1", Incarnation: "i", Version: 2})
			h.Requests[0].SentAt, h.Requests[0].AnsweredAt = at(32), at(33)
		}, ConfigurationInForce},
	}
	covered := map[Promise]bool{}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			history := sound()
			c.spoil(history)
			breaks := Check(history, DefaultBounds())
			require.NotEmpty(t, breaks)
			require.Equal(t, c.want, breaks[0].Promise, "%v", breaks)
		})
		covered[c.want] = true
	}
	require.Len(t, covered, len(Promises()))
}

func TestExcusesHold(t *testing.T) {
	history := sound()
	history.Applied[0].At = at(30)
	history.Outages = []Outage{{Node: "n1", From: at(0), Until: at(29)}}
	require.Empty(t, Check(history, DefaultBounds()))
	history.Outages[0].Node = "n2"
	require.NotEmpty(t, Check(history, DefaultBounds()))
}
