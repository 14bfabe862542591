package emulator

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wheatroad/wheatroad/internal/checker"
	"github.com/wheatroad/wheatroad/internal/declaration"
	"github.com/wheatroad/wheatroad/internal/job"
)

// SoakOptions describe a soak run.
type SoakOptions struct {
	Options
	Hours float64
	Rates Rates
	Load  Load
	// ChangesPerHour of the configuration, of which some race.
	ChangesPerHour float64
}

// DefaultSoak is a small site under heavy faults.
func DefaultSoak(seed uint64, hours float64) SoakOptions {
	return SoakOptions{
		Options: Options{Seed: seed, Nodes: 9, ListLag: 20 * time.Second, ReportLag: 200 * time.Millisecond},
		Hours:   hours, Rates: HeavyRates(), ChangesPerHour: 60,
		Load: Load{JobsPerHour: 400, MeanSeconds: 60, Tenants: []string{"a", "b", "c", "guest"}},
	}
}

// Report is the result of a soak run.
type Report struct {
	Seed               uint64                  `json:"seed"`
	Hours              float64                 `json:"hours"`
	Faults             map[string]int64        `json:"faults"`
	Jobs               int                     `json:"jobs"`
	Answers            map[string]int          `json:"answers"`
	Ended              map[string]int          `json:"ended"`
	Breaks             map[checker.Promise]int `json:"breaks"`
	FirstBreak         string                  `json:"first_break,omitempty"`
	TakeoverP50        float64                 `json:"takeover_seconds_p50"`
	TakeoverP99        float64                 `json:"takeover_seconds_p99"`
	InForceP50         float64                 `json:"config_seconds_p50"`
	InForceP99         float64                 `json:"config_seconds_p99"`
	StoreReadsSecond   float64                 `json:"store_reads_per_second"`
	StoreWritesSecond  float64                 `json:"store_writes_per_second"`
	MessagesNodeSecond float64                 `json:"messages_per_node_second"`
	BytesNodeSecond    float64                 `json:"bytes_per_node_second"`
	Unsettled          int                     `json:"unsettled_jobs"`
}

// settleHours is how long a run goes on without load and faults, so that what is
// under way can end.
const settle = 15 * time.Minute

// Soak runs a system under load and faults and judges its history.
func Soak(options SoakOptions) (Report, []checker.Break) {
	w := NewWorld(options.Options)
	w.Run(20 * time.Second)
	w.declare(baseTenants(true))
	w.Run(5 * time.Second)
	until := w.clock.now.Add(time.Duration(options.Hours * float64(time.Hour)))
	w.Start(options.Load, until)
	w.Inject(options.Rates, until)
	w.changeConfiguration(options.ChangesPerHour, rand.New(rand.NewPCG(options.Seed, 3)), until)
	w.watchGuarantees(until)
	w.clock.Run(until)
	reads, writes := w.site.Table.Counts()
	w.Run(settle)
	for _, row := range w.site.Table.Scan("job/", 0).Rows {
		w.log("unsettled", string(row.Value))
	}
	for _, n := range w.nodes {
		for _, line := range n.control.Describe() {
			w.log(n.name, line)
		}
	}
	w.History.Executions = w.site.History()
	w.History.End = w.clock.now
	breaks := checker.Check(&w.History, checker.DefaultBounds())
	return w.report(options, breaks, reads, writes), breaks
}

// baseTenants are the tenants of a soak run; the guest comes and goes.
func baseTenants(guest bool) declaration.Declaration {
	declared := declaration.Declaration{Tenants: []declaration.Tenant{
		{Name: "a", Guarantees: []declaration.Guarantee{{Shape: job.Shape{Members: 2, Accelerators: 8, Spread: job.SpreadRack}, Count: 2}}},
		{Name: "b", Guarantees: []declaration.Guarantee{{Shape: job.Shape{Members: 4, Accelerators: 8, Spread: job.SpreadRack}, Count: 1}}},
		{Name: "c", Quota: declaration.Quota{Accelerators: 96}},
	}}
	if guest {
		declared.Tenants = append(declared.Tenants, declaration.Tenant{Name: "guest"})
	}
	declared.Normalize()
	return declared
}

func baseTenantsWithoutGuarantees() declaration.Declaration {
	return declaration.Declaration{Tenants: []declaration.Tenant{{Name: "a"}}}
}

func (w *World) declare(declared declaration.Declaration) {
	w.Confirm(declared, func(_ int64, err error) {
		if err != nil {
			w.Counters["confirm/failed"]++
		} else {
			w.Counters["confirm/ok"]++
		}
	})
}

// raceShare is the share of changes that two operators make at once.
const raceShare = 0.3

func (w *World) changeConfiguration(rate float64, random *rand.Rand, until time.Time) {
	if rate <= 0 {
		return
	}
	at := w.clock.now.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Hour)))
	if at.After(until) {
		return
	}
	w.clock.At(at, func() {
		guest := random.Float64() < 0.5
		w.declare(baseTenants(guest))
		if random.Float64() < raceShare {
			w.declare(baseTenants(!guest))
		}
		w.changeConfiguration(rate, random, until)
	})
}

func (w *World) report(options SoakOptions, breaks []checker.Break, reads, writes int64) Report {
	seconds := options.Hours * time.Hour.Seconds()
	r := Report{
		Seed: options.Seed, Hours: options.Hours, Faults: map[string]int64{}, Jobs: len(w.History.Requests),
		Answers: map[string]int{}, Ended: map[string]int{}, Breaks: map[checker.Promise]int{},
		TakeoverP50: quantile(w.TakeoverSeconds, 0.5), TakeoverP99: quantile(w.TakeoverSeconds, 0.99),
		InForceP50: quantile(w.InForceSeconds, 0.5), InForceP99: quantile(w.InForceSeconds, 0.99),
		StoreReadsSecond: float64(reads) / seconds, StoreWritesSecond: float64(writes) / seconds,
		Unsettled: len(w.site.Table.Scan("job/", 0).Rows),
	}
	for _, kind := range faultKinds() {
		r.Faults[string(kind)] = w.Counters["fault/"+string(kind)]
	}
	for _, request := range w.History.Requests {
		r.Answers[outcomeName(request)]++
	}
	for _, answer := range w.History.Answers {
		if answer.Record.State.Terminal() {
			r.Ended[string(answer.Record.State)+"/"+string(answer.Record.Outcome)]++
		}
	}
	for _, promise := range checker.Promises() {
		r.Breaks[promise] = 0
	}
	for _, b := range breaks {
		r.Breaks[b.Promise]++
	}
	if len(breaks) > 0 {
		r.FirstBreak = breaks[0].At.Format(time.TimeOnly) + " " + string(breaks[0].Promise) + ": " + breaks[0].Detail
	}
	var messages, bytes int64
	for node := range w.Bytes {
		messages += w.Messages[node]
		bytes += w.Bytes[node]
	}
	r.MessagesNodeSecond = float64(messages) / seconds / float64(options.Nodes)
	r.BytesNodeSecond = float64(bytes) / seconds / float64(options.Nodes)
	return r
}

func outcomeName(request *checker.Request) string {
	switch {
	case !request.Answered:
		return "none"
	case request.Accepted:
		return "accepted"
	default:
		return string(request.Kind)
	}
}

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[int(math.Ceil(q*float64(len(sorted))))-1]
}
