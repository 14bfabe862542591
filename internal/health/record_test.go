package health

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns a time in milliseconds after the epoch.
func at(millis int) time.Time { return epoch.Add(time.Duration(millis) * time.Millisecond) }

// failureTime is how long a run on a failing worker lasts.
const failureTime = 50

// fail records the early failure of a run of a job that also runs elsewhere.
func fail(r *Record, machine Machine, startMillis int) Verdict {
	f := &Failure{Job: fmt.Sprint("job of ", machine.ID, startMillis), StartedAt: at(startMillis), Early: true, Elsewhere: OtherRunSucceeds}
	return r.RecordFailure(machine, f, at(startMillis+failureTime))
}

func rackWorker(rack, number int) Machine {
	return Machine{ID: fmt.Sprintf("w-%d-%d", rack, number), Rack: fmt.Sprint("r-", rack)}
}

func trusted(r *Record, machine Machine, now time.Time) bool {
	return r.WorkerState(machine, now).Trusted
}

func TestFailsEarly(t *testing.T) {
	cases := []struct {
		runTime, expected time.Duration
		fromCheckpoint    bool
		want              bool
	}{
		{73 * time.Millisecond, 5 * time.Second, false, true},
		{499 * time.Millisecond, 5 * time.Second, false, true},
		{500 * time.Millisecond, 5 * time.Second, false, false},
		{100 * time.Millisecond, time.Second, false, false},
		{time.Second, 5 * time.Second, true, true},
		{1200 * time.Millisecond, 5 * time.Second, true, false},
	}
	for _, c := range cases {
		require.Equal(t, c.want, FailsEarly(c.runTime, c.expected, c.fromCheckpoint), "%+v", c)
	}
}

// TestProofMustBeginAfterFailures checks that a run from before the failures proves nothing, however
// lately it made progress.
func TestProofMustBeginAfterFailures(t *testing.T) {
	r, a, b := New(), rackWorker(0, 0), rackWorker(0, 1)
	require.False(t, r.Active(at(0)))
	r.RecordProgress(b, at(900), at(950))
	require.True(t, fail(r, a, 1000).Suspected)
	require.True(t, r.Active(at(1100)))
	r.RecordProgress(b, at(900), at(1100))
	require.False(t, r.Proven(b.ID, at(1100)))
	r.RecordProgress(b, at(1200), at(1300))
	require.True(t, r.Proven(b.ID, at(1300)))
	require.False(t, r.Proven(b.ID, at(1200).Add(proofPeriod)))
}

// TestFailureOfProvenWorkerVoidsProofs checks that a second wave is not met with the proofs of the
// first one.
func TestFailureOfProvenWorkerVoidsProofs(t *testing.T) {
	r, a, b, c := New(), rackWorker(0, 0), rackWorker(0, 1), rackWorker(0, 2)
	fail(r, a, 1000)
	r.RecordProgress(b, at(1200), at(1300))
	r.RecordProgress(c, at(1200), at(1300))
	fail(r, a, 1400)
	require.True(t, r.Proven(b.ID, at(1500)), "another failure of a suspect says nothing about others")
	fail(r, c, 2000)
	require.False(t, r.Proven(b.ID, at(2100)))
}

func TestSuspectIsClearedByLaterRun(t *testing.T) {
	r, a := New(), rackWorker(0, 0)
	verdict := fail(r, a, 1000)
	require.Equal(t, Verdict{Suspected: true, Failures: 1}, verdict)
	require.Equal(t, Verdict{Excluded: true, Failures: 2}, fail(r, a, 1100))
	require.False(t, r.RecordProgress(a, at(900), at(1300)), "an older run proves nothing")
	require.True(t, r.Suspected(a.ID, at(1300)))
	require.Equal(t, 1, r.SuspectedWorkers(at(1300)))
	require.True(t, r.RecordProgress(a, at(1400), at(1500)))
	require.False(t, r.Suspected(a.ID, at(1500)))
}

func TestEvidenceFades(t *testing.T) {
	r, a := New(), rackWorker(0, 0)
	fail(r, a, 0)
	soon, later, late := at(failureTime), at(failureTime).Add(quietPeriod), at(failureTime).Add(forgetPeriod)
	require.Greater(t, r.Chance(a, soon), r.Chance(a, later))
	require.Greater(t, r.Chance(a, soon), 0.5)
	require.True(t, r.Active(later.Add(-1)))
	require.False(t, r.Active(later))
	require.True(t, r.Suspected(a.ID, late.Add(-1)))
	require.False(t, r.Suspected(a.ID, late))
}

// TestLateFailureIsNoEvidenceOfFailingWorkers checks that a late failure makes no suspect, but that
// a worker is still excluded after several.
func TestLateFailureIsNoEvidenceOfFailingWorkers(t *testing.T) {
	r, a := New(), rackWorker(0, 0)
	require.Equal(t, Verdict{Failures: 1}, r.RecordFailure(a, &Failure{Job: "a", StartedAt: at(0), Elsewhere: OtherRunSucceeds}, at(4000)))
	require.False(t, r.Active(at(4000)))
	require.Equal(t, Verdict{Excluded: true, Failures: 2}, r.RecordFailure(a, &Failure{Job: "b", StartedAt: at(0), Elsewhere: OtherRunSucceeds}, at(4100)))
	require.Zero(t, r.SuspectedWorkers(at(4100)))
}

// TestJobThatFailsEverywhereIsBlamed checks that workers are not suspected for a job that fails
// wherever it runs, and that they are for a job that runs on others.
func TestJobThatFailsEverywhereIsBlamed(t *testing.T) {
	cases := []struct {
		name      string
		elsewhere OtherRuns
		// otherFailing is the number of workers that other jobs have failed on.
		otherFailing int
		// members is the number of the job's tasks that start together.
		members    int
		wantBlamed bool
	}{
		{"fails everywhere", NoOtherRun, 0, 1, true},
		{"runs elsewhere", OtherRunLasts, 0, 1, false},
		{"succeeds elsewhere", OtherRunSucceeds, 0, 1, false},
		{"fails everywhere during a wave", NoOtherRun, 8, 1, false},
		{"gang with many chances to fail", NoOtherRun, 0, 18, false},
	}
	for _, c := range cases {
		r := New()
		for i := range c.otherFailing {
			fail(r, rackWorker(1, i), 0)
		}
		blamed := false
		for i := range 2 {
			f := &Failure{Job: "bad", StartedAt: at(1000), Early: true, Members: c.members, Elsewhere: c.elsewhere}
			blamed = r.RecordFailure(rackWorker(0, i), f, at(1050)).JobBlamed
		}
		require.Equal(t, c.wantBlamed, blamed, c.name)
		require.Equal(t, c.wantBlamed, !r.Suspected(rackWorker(0, 0).ID, at(1050)), c.name)
		require.Equal(t, c.wantBlamed, !r.Active(at(1050)), c.name)
	}
}

// TestBadGangIsBlamedWithinItsAttempts checks that four failures blame a gang of 18.
func TestBadGangIsBlamedWithinItsAttempts(t *testing.T) {
	r := New()
	const attempts = 4
	for i := range attempts {
		f := &Failure{Job: "bad", StartedAt: at(1000), Early: true, Members: 18}
		require.Equal(t, i == attempts-1, r.RecordFailure(rackWorker(0, i), f, at(1050)).JobBlamed, "failure %d", i+1)
	}
	require.Zero(t, r.SuspectedWorkers(at(1050)))
}

// TestBlamedJobLeavesOtherEvidence checks that a blamed job's failures are withdrawn, and no others.
func TestBlamedJobLeavesOtherEvidence(t *testing.T) {
	r, a, b := New(), rackWorker(0, 0), rackWorker(1, 0)
	bad := &Failure{Job: "bad", StartedAt: at(1000), Early: true}
	r.RecordFailure(a, bad, at(1050))
	fail(r, a, 1010)
	require.Equal(t, Verdict{JobBlamed: true}, r.RecordFailure(b, bad, at(1070)), "a has another failure")
	require.True(t, r.Suspected(a.ID, at(1100)))
	require.False(t, r.Suspected(b.ID, at(1100)))
	bad.Elsewhere = OtherRunLasts
	require.Equal(t, Verdict{}, r.RecordFailure(b, bad, at(1200)), "a blamed job's failures count no more")
	bad.Elsewhere = OtherRunSucceeds
	require.True(t, r.RecordFailure(b, bad, at(1300)).Suspected, "unless a run of it succeeds")
}

// TestWaveIsSeenFromFirstFailures checks that two failing workers of many raise the caution for all
// unproven ones at once, and that it falls as others prove healthy.
func TestWaveIsSeenFromFirstFailures(t *testing.T) {
	r := New()
	unproven := rackWorker(3, 0)
	require.True(t, trusted(r, unproven, at(0)))
	fail(r, rackWorker(0, 0), 1000)
	require.False(t, r.UpdateWave(at(1050)))
	fail(r, rackWorker(1, 0), 1001)
	require.True(t, r.UpdateWave(at(1051)))
	require.True(t, r.Wave())
	require.False(t, trusted(r, unproven, at(1051)))
	for i := range 100 {
		r.RecordProgress(rackWorker(4+i, 0), at(1100), at(1200))
	}
	require.True(t, r.UpdateWave(at(1200)))
	require.False(t, r.Wave())
	require.True(t, trusted(r, unproven, at(1200)))
}

// TestSingleJobBeginsNoWave checks that a wave takes the failures of two jobs, since a single job may
// be at fault itself.
func TestSingleJobBeginsNoWave(t *testing.T) {
	r := New()
	failJob := func(job string, worker int) {
		f := &Failure{Job: job, Members: 18, StartedAt: at(1000), Early: true, Elsewhere: OtherRunLasts}
		r.RecordFailure(rackWorker(0, worker), f, at(1050))
	}
	for worker := range 3 {
		failJob("a", worker)
	}
	require.Equal(t, 3, r.SuspectedWorkers(at(1050)))
	require.False(t, r.UpdateWave(at(1050)))
	failJob("b", 3)
	require.True(t, r.UpdateWave(at(1051)))
}

// TestJobsOfOneWorkerBeginNoWave checks that a wave takes several workers, too.
func TestJobsOfOneWorkerBeginNoWave(t *testing.T) {
	r := New()
	fail(r, rackWorker(0, 0), 1000)
	fail(r, rackWorker(0, 0), 1100)
	require.False(t, r.UpdateWave(at(1200)))
}

func TestWaveEndsWithoutFailures(t *testing.T) {
	r := New()
	for i := range 5 {
		fail(r, rackWorker(i, 0), 0)
	}
	require.True(t, r.UpdateWave(at(100)))
	require.False(t, r.UpdateWave(at(5000)))
	require.True(t, r.UpdateWave(at(failureTime).Add(quietPeriod)))
	require.False(t, r.Wave())
}

// TestGroupsRaiseCaution checks that the workers of a failing rack, or of a failing version, are
// trusted less than others.
func TestGroupsRaiseCaution(t *testing.T) {
	inRack := func(group string, i int) Machine { return Machine{ID: group + fmt.Sprint(i), Rack: group} }
	ofVersion := func(group string, i int) Machine { return Machine{ID: group + fmt.Sprint(i), Version: group} }
	for _, machine := range []func(string, int) Machine{inRack, ofVersion} {
		r := New()
		for i := range 3 {
			fail(r, machine("bad", i), 1000)
		}
		for i := range 80 {
			r.RecordProgress(machine("good", i), at(1100), at(1200))
		}
		require.False(t, trusted(r, machine("bad", 7), at(1200)))
		require.True(t, trusted(r, machine("good", 90), at(1200)))
	}
}

// TestAssumedFailuresGiveWayToKnownOnes checks that a new owner is careful until it knows more.
func TestAssumedFailuresGiveWayToKnownOnes(t *testing.T) {
	r, a := New(), rackWorker(0, 0)
	r.AssumeFailures(at(1000))
	require.True(t, r.Active(at(1000)))
	r.RecordProgress(a, at(900), at(1100))
	require.False(t, r.Proven(a.ID, at(1100)))
	r.RecordProgress(a, at(1100), at(1200))
	require.True(t, r.Proven(a.ID, at(1200)))
	require.False(t, r.Active(at(1000).Add(quietPeriod)))
}

// TestRecordBecomesEmpty checks that nothing is kept for ever, and nothing learned while no worker
// fails.
func TestRecordBecomesEmpty(t *testing.T) {
	r, a, b := New(), rackWorker(0, 0), rackWorker(0, 1)
	r.RecordProgress(b, at(0), at(100))
	require.True(t, r.Empty())
	fail(r, a, 1000)
	r.RecordProgress(b, at(1100), at(1200))
	over := at(1100).Add(quietPeriod)
	r.RecordProgress(b, over, over)
	r.Prune(over)
	require.False(t, r.Empty())
	require.True(t, r.Suspected(a.ID, over))
	late := at(1100).Add(forgetPeriod)
	r.Prune(late)
	require.True(t, r.Empty())
	require.Empty(t, r.jobs)
}

// TestBlameEndsWithSuccess checks that a job that was blamed and then succeeds somewhere is blamed
// again only by as much evidence as at first.
func TestBlameEndsWithSuccess(t *testing.T) {
	r := New()
	failOn := func(worker int, elsewhere OtherRuns) bool {
		f := &Failure{Job: "job", StartedAt: at(1000), Early: true, Elsewhere: elsewhere}
		return r.RecordFailure(rackWorker(0, worker), f, at(1050)).JobBlamed
	}
	require.False(t, failOn(0, NoOtherRun))
	require.True(t, failOn(1, NoOtherRun))
	for worker := range 4 {
		require.False(t, failOn(2+worker, OtherRunLasts), "blamed already")
	}
	require.False(t, failOn(6, OtherRunSucceeds))
	require.True(t, r.Suspected(rackWorker(0, 6).ID, at(1050)))
	require.False(t, failOn(7, NoOtherRun), "one more worker is not enough")
}

// TestUnknownStartBlamesNoJob checks that a failed run of which the start is unknown does not blame its
// job, as there is nothing to compare it with.
func TestUnknownStartBlamesNoJob(t *testing.T) {
	r := New()
	for worker := range 4 {
		f := &Failure{Job: "job", Elsewhere: OtherRunsUnknown}
		require.False(t, r.RecordFailure(rackWorker(0, worker), f, at(1050)).JobBlamed)
	}
}
