package replay

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/figures"
	"github.com/wheatroad/wheatroad/internal/schedule"
	"github.com/wheatroad/wheatroad/internal/trace"
	"github.com/wheatroad/wheatroad/internal/workload"
)

const smallCluster = `
[[pool]]
region = "r"
zone = "z"
racks = 1
workers_per_rack = 2
accelerators = 4
cpus = 8
memory_gb = 16
[[tenant]]
name = "a"
  [[tenant.guarantee]]
  members = 1
  accelerators = 4
  spread = "rack"
[[tenant]]
name = "b"
`

func submit(at float64, id, rest string) string {
	return fmt.Sprintf(`{"at":%g,"event":"submit","job":%q,"tenant":"b","priority":"normal","spread":"rack",%s}`, at, id, rest)
}

// TestRecordedTraces compares the events of traces with the expected ones.
func TestRecordedTraces(t *testing.T) {
	cases := map[string]struct{ trace, want []string }{
		"a gang waits for all its members": {
			[]string{
				submit(0, "j1", `"members":1,"accelerators":4,"duration":10`),
				submit(1, "j2", `"members":2,"accelerators":4,"duration":5`),
			},
			[]string{"0 start j1 1", "10 finish j1 1", "10 start j2 1", "15 finish j2 1"},
		},
		"a guarantee is reclaimed once work has checkpointed": {
			[]string{
				submit(0, "j1", `"members":2,"accelerators":4,"duration":100,"checkpoint":true,"checkpoint_seconds":5`),
				strings.Replace(submit(10, "g", `"members":1,"accelerators":4,"duration":20,"guaranteed":true`), `"tenant":"b"`, `"tenant":"a"`, 1),
			},
			[]string{"0 start j1 1", "10 preempt j1 1", "15 start g 1", "35 finish g 1", "35 start j1 2", "125 finish j1 2"},
		},
		"work that cannot checkpoint restarts from the beginning": {
			[]string{
				submit(0, "j1", `"members":2,"accelerators":4,"duration":100`),
				strings.Replace(submit(10, "g", `"members":1,"accelerators":4,"duration":20,"guaranteed":true`), `"tenant":"b"`, `"tenant":"a"`, 1),
			},
			[]string{"0 start j1 1", "10 preempt j1 1", "10 start g 1", "30 finish g 1", "30 start j1 2", "130 finish j1 2"},
		},
		"an urgent job preempts a low one": {
			[]string{
				strings.Replace(submit(0, "low", `"members":2,"accelerators":4,"duration":100`), "normal", "low", 1),
				strings.Replace(submit(5, "now", `"members":1,"accelerators":1,"duration":10`), "normal", "urgent", 1),
			},
			[]string{"0 start low 1", "5 preempt low 1", "5 start now 1", "15 finish now 1", "15 start low 2", "115 finish low 2"},
		},
		"a lost worker stops the whole gang": {
			[]string{
				submit(0, "j1", `"members":2,"accelerators":4,"duration":1000,"checkpoint":true,"checkpoint_seconds":5`),
				`{"at":700,"event":"worker_down","worker":"r/z/rack00/worker01"}`,
				`{"at":800,"event":"worker_up","worker":"r/z/rack00/worker01"}`,
			},
			[]string{"0 start j1 1", "700 stop j1 1", "800 start j1 2", "1200 finish j1 2"},
		},
		"cancelled jobs and jobs that can never fit": {
			[]string{
				submit(0, "j1", `"members":3,"accelerators":4,"duration":10`),
				submit(1, "j2", `"members":2,"accelerators":4,"duration":100`),
				submit(2, "j3", `"members":2,"accelerators":4,"duration":10`),
				`{"at":3,"event":"cancel","job":"j2"}`,
				`{"at":4,"event":"cancel","job":"j3"}`,
			},
			[]string{"0 refuse j1 0", "1 start j2 1", "3 stop j2 1", "3 start j3 1", "4 stop j3 1"},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			cluster, lines := load(t, smallCluster, strings.Join(c.trace, "\n"))
			var got []string
			Run(cluster, lines, schedule.Default(), time.Now, func(e trace.Event) {
				got = append(got, fmt.Sprintf("%g %s %s %d", e.At, e.Event, e.Job, e.Attempt))
			})
			require.Equal(t, c.want, got)
		})
	}
}

func load(t *testing.T, clusterText, traceText string) (*trace.Cluster, []trace.Line) {
	t.Helper()
	cluster, err := trace.ParseCluster(clusterText)
	require.NoError(t, err)
	lines, err := trace.Read(strings.NewReader(traceText), cluster)
	require.NoError(t, err)
	return cluster, lines
}

func TestFiguresByHand(t *testing.T) {
	cluster, lines := load(t, smallCluster, strings.Join([]string{
		submit(0, "j1", `"members":1,"accelerators":4,"duration":10`),
		submit(1, "j2", `"members":2,"accelerators":4,"duration":5`),
	}, "\n"))
	var events []trace.Event
	Run(cluster, lines, schedule.Default(), time.Now, func(e trace.Event) { events = append(events, e) })
	f := figures.Compute(cluster, lines, events).Figures
	require.InDelta(t, (10.0+14.0)/2, f.CompletionMean, 1e-9)
	require.InDelta(t, 4.5, f.WaitMean, 1e-9)
	// From 0 to 10 s, 4 of 8 accelerators are free. Whole gangs of shape 1x4, half of the
	// requested accelerator-seconds, can use them; gangs of shape 2x4 cannot.
	require.InDelta(t, 0.5, f.Fragmentation, 1e-9)
	require.InDelta(t, (40.0+40.0)/(8*15), f.Utilization, 1e-9)
	require.Zero(t, f.OverCommits+f.PartialGangs+f.Unfinished+f.LateGuaranteedStarts)
}

func TestGeneratedTracesMeetGuarantees(t *testing.T) {
	cluster, err := trace.ReadCluster("../../examples/replay/sahil.toml")
	require.NoError(t, err)
	for _, bursts := range []workload.BurstKind{workload.SmallBursts, workload.LargeBursts, workload.MixedBursts} {
		for _, policy := range []string{"first-fit", "best-fit", "wheatroad"} {
			t.Run(string(bursts)+" "+policy, func(t *testing.T) {
				lines := workload.Generate(cluster, workload.Options{Seed: 3, Load: 0.9, Hours: 24, Bursts: bursts})
				chosen, err := schedule.Named(policy)
				require.NoError(t, err)
				run := func() []trace.Event {
					var events []trace.Event
					Run(cluster, lines, chosen, time.Now, func(e trace.Event) { events = append(events, e) })
					return events
				}
				events := run()
				require.Equal(t, events, run(), "two runs differ")
				f := figures.Compute(cluster, lines, events).Figures
				require.Zero(t, f.Unfinished)
				require.Zero(t, f.PartialGangs)
				require.Zero(t, f.OverCommits)
				require.Zero(t, f.Refused)
			})
		}
	}
}

// TestGangIsNotStarved guards against a stream of small jobs that delays a gang of the size of
// the cluster beyond its due time plus the run time of the jobs running then.
func TestGangIsNotStarved(t *testing.T) {
	const gangAt, gangRun, smallRun = 50.0, 50.0, 100.0
	for _, weight := range []float64{0, 0.5, 1} {
		t.Run(fmt.Sprint(weight), func(t *testing.T) {
			var stream []string
			for second := 0; second < 4000; second += 10 {
				if float64(second) == gangAt {
					stream = append(stream, submit(gangAt, "gang", fmt.Sprintf(`"members":2,"accelerators":4,"duration":%g`, gangRun)))
				}
				stream = append(stream, submit(float64(second), fmt.Sprintf("s%d", second), fmt.Sprintf(`"members":1,"accelerators":1,"duration":%g`, smallRun)))
			}
			cluster, lines := load(t, smallCluster, strings.Join(stream, "\n"))
			policy := schedule.Weighted(weight)
			started := -1.0
			Run(cluster, lines, policy, time.Now, func(e trace.Event) {
				if e.Job == "gang" && e.Event == trace.Start && started < 0 {
					started = e.At
				}
			})
			due := gangAt + policy.StretchFactor*gangRun
			require.Positive(t, started)
			require.LessOrEqual(t, started, due+smallRun)
		})
	}
}

func TestInvalidTracesAreRejected(t *testing.T) {
	good := submit(5, "j1", `"members":1,"accelerators":1,"duration":10`)
	cases := map[string]struct{ line, reason string }{
		"unknown worker":  {`{"at":6,"event":"worker_down","worker":"r/z/rack09/worker00"}`, `worker: "r/z/rack09/worker00" is unknown`},
		"time goes back":  {submit(4, "j2", `"members":1,"duration":10`), "lines must be sorted by time"},
		"duplicate job":   {good, "was submitted before"},
		"negative size":   {submit(6, "j2", `"members":-1,"duration":10`), "members"},
		"no duration":     {submit(6, "j2", `"members":1`), "duration"},
		"unknown tenant":  {strings.Replace(submit(6, "j2", `"members":1,"duration":10`), `"b"`, `"x"`, 1), `tenant: "x" is unknown`},
		"unknown event":   {`{"at":6,"event":"dance"}`, "event"},
		"unknown field":   {`{"at":6,"event":"cancel","job":"j1","colour":1}`, "colour"},
		"not JSON":        {`{"at":`, "unexpected EOF"},
		"two on one line": {`{"at":6,"event":"cancel","job":"j1"} {}`, "more than one JSON value"},
		"cancel unknown":  {`{"at":6,"event":"cancel","job":"j9"}`, "was not submitted"},
	}
	cluster, err := trace.ParseCluster(smallCluster)
	require.NoError(t, err)
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := trace.Read(strings.NewReader(good+"\n\n"+c.line+"\n"), cluster)
			var fault *trace.LineError
			require.ErrorAs(t, err, &fault)
			require.Equal(t, 3, fault.Line)
			require.Contains(t, fault.Reason, c.reason)
		})
	}
}

func FuzzTrace(f *testing.F) {
	cluster, err := trace.ParseCluster(smallCluster)
	require.NoError(f, err)
	f.Add(submit(0, "j1", `"members":1,"accelerators":1,"duration":10`))
	f.Add(`{"at":6,"event":"worker_down","worker":"r/z/rack00/worker00"}`)
	f.Fuzz(func(t *testing.T, text string) {
		lines, err := trace.Read(strings.NewReader(text), cluster)
		if err != nil || len(lines) > 50 {
			return
		}
		var events []trace.Event
		Run(cluster, lines, schedule.Default(), time.Now, func(e trace.Event) { events = append(events, e) })
		result := figures.Compute(cluster, lines, events).Figures
		require.Zero(t, result.OverCommits)
		require.Zero(t, result.PartialGangs)
	})
}
