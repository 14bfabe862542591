package emulator

import (
	"fmt"
	"runtime"
	"strings"
	"sync"
	"time"

	"github.com/wheatroad/wheatroad/internal/checker"
	"github.com/wheatroad/wheatroad/internal/job"
	"github.com/wheatroad/wheatroad/internal/standin"
	"github.com/wheatroad/wheatroad/internal/store"
)

// script decides the fate of each write about a job, in order, and when the owner
// is frozen. It takes the place of drawn faults in a search.
type script struct {
	fates []standin.Fault
	next  int
	// freezeAtOrder freezes the sender of that order to a worker, counted from 1.
	freezeAtOrder int
	orders        int
}

// fates are what can become of a write. A late one takes effect after another node
// has taken the domain over.
func fates() []standin.Fault {
	return []standin.Fault{
		{Mode: standin.Healthy},
		{Mode: standin.Down},
		{Mode: standin.Lossy, Share: 1},
		{Mode: standin.Late, Share: 1, DelaySeconds: lateSeconds},
	}
}

const (
	lateSeconds   = 14
	scriptFreeze  = 30 * time.Second
	scriptedRun   = 150 * time.Second
	scriptedNodes = 2
)

// fateOf returns the fate of a transaction, healthy for those not about jobs.
func (s *script) fateOf(transaction store.Transaction) standin.Fault {
	if s.next >= len(s.fates) || !aboutJob(transaction) {
		return standin.Fault{}
	}
	fate := s.fates[s.next]
	s.next++
	return fate
}

func aboutJob(transaction store.Transaction) bool {
	for _, write := range transaction.Writes {
		if strings.HasPrefix(write.Key, "job/") || strings.HasPrefix(write.Key, "name/") {
			return true
		}
	}
	return false
}

// ExploreOptions bound a search.
type ExploreOptions struct {
	// Writes is how many writes about jobs get every combination of fates.
	Writes int
	// Orders is how many orders to workers the owner is frozen after, one at a time.
	Orders int
	// Without names a mechanism to turn off; empty leaves all on.
	Without string
}

// ExploreReport is the result of a search.
type ExploreReport struct {
	// Runs is how many schedules of faults were run, States how many of them ended
	// in histories unlike all others.
	Runs   int                     `json:"runs"`
	States int                     `json:"states"`
	Breaks map[checker.Promise]int `json:"breaks"`
	First  string                  `json:"first_break,omitempty"`
}

// Explore runs every combination of fates of the first writes with every place to
// freeze the owner: two nodes, one worker, a gang that may be repeated and one that
// may not. It drives the control state that the daemon runs.
func Explore(options ExploreOptions) (ExploreReport, error) {
	if options.Without != "" {
		if err := (&Options{}).Without(options.Without); err != nil {
			return ExploreReport{}, err
		}
	}
	total := options.Orders + 1
	for range options.Writes {
		total *= len(fates())
	}
	numbers := make(chan int)
	var mutex sync.Mutex
	report := ExploreReport{Runs: total, Breaks: map[checker.Promise]int{}}
	seen := map[string]bool{}
	var group sync.WaitGroup
	for range runtime.NumCPU() {
		group.Go(func() {
			for number := range numbers {
				state, breaks := runScript(number, options)
				mutex.Lock()
				seen[state] = true
				for _, b := range breaks {
					report.Breaks[b.Promise]++
				}
				if len(breaks) > 0 && report.First == "" {
					report.First = fmt.Sprintf("schedule %d: %s: %s", number, breaks[0].Promise, breaks[0].Detail)
				}
				mutex.Unlock()
			}
		})
	}
	for number := range total {
		numbers <- number
	}
	close(numbers)
	group.Wait()
	report.States = len(seen)
	return report, nil
}

// scriptOf decodes the number of a schedule.
func scriptOf(number int, options ExploreOptions) *script {
	s := &script{freezeAtOrder: number % (options.Orders + 1)}
	number /= options.Orders + 1
	for range options.Writes {
		s.fates = append(s.fates, fates()[number%len(fates())])
		number /= len(fates())
	}
	return s
}

func runScript(number int, options ExploreOptions) (string, []checker.Break) {
	worldOptions := Options{
		Seed: 1, Nodes: scriptedNodes,
		Layouts: []standin.Layout{{Region: "r", Zone: "z", Racks: 1, WorkersPerRack: 2, Accelerators: 8, CPUs: 64, MemoryGB: 256, Slots: 8}},
	}
	if options.Without != "" {
		// The name was checked by Explore.
		_ = worldOptions.Without(options.Without)
	}
	w := NewWorld(worldOptions)
	w.Run(15 * time.Second)
	w.declare(baseTenantsWithoutGuarantees())
	w.Run(5 * time.Second)
	w.script = scriptOf(number, options)
	for index, repeatable := range []bool{false, true} {
		w.Submit(job.Spec{
			ID: fmt.Sprintf("job%d", index), Tenant: "a", Priority: job.Normal, Duration: 20, Repeatable: repeatable,
			Payload: `{"run_seconds":20}`,
			Shape:   job.Shape{Members: 2, Accelerators: 4, CPUs: 1, Spread: job.SpreadRack},
		}, func(_ *checker.Request, record *job.Record) {
			if record != nil {
				w.Follow(record.Key(), record.Domain, func(*job.Record) {})
			}
		})
		w.Run(time.Second)
	}
	w.Run(scriptedRun)
	w.History.Executions = w.site.History()
	w.History.End = w.clock.now
	return w.outline(), checker.Check(&w.History, checker.DefaultBounds())
}

// outline describes what happened without its times.
func (w *World) outline() string {
	var text strings.Builder
	for _, request := range w.History.Requests {
		fmt.Fprintf(&text, "%s %t %s %s;", request.Spec.ID, request.Accepted, request.Kind, request.Outcome)
	}
	for _, e := range w.History.Executions {
		fmt.Fprintf(&text, "%s %d %d %v %t %s;", e.Job, e.Attempt, e.Epoch, e.Members, e.Began, e.State)
	}
	for _, answer := range w.History.Answers {
		fmt.Fprintf(&text, "%s %s %d;", answer.Asked.ID, answer.Record.State, answer.Record.Attempt)
	}
	return text.String()
}
