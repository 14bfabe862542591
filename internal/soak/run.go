// Package soak runs daemon processes against the simulated platform, injects faults from outside,
// and checks invariants from the observations of callers, workers and the store.
package soak

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
	"github.com/wheatroad/wheatroad/platform/standin"
)

// Options of a run.
type Options struct {
	// DaemonPath is the path of the wheatroadd binary.
	DaemonPath string
	// OtherDaemonPath is the wheatroadd binary of another version that runs beside the first; empty
	// for none.
	OtherDaemonPath string
	Seed            uint64
	// FaultDuration is how long faults are injected.
	FaultDuration time.Duration
	Daemons       int
	Callers       int
	// InstanceFaults adds worker restarts and invalid worker rows to every seed.
	InstanceFaults bool
	// QueueMoves moves the queue in every seed. Without it, the queue of some seeds moves if all daemons
	// are of one version. WithoutQueueMoves moves it in no seed, for daemons that are launched as those
	// of several versions.
	QueueMoves        bool
	WithoutQueueMoves bool
	// Directory contains settings and logs.
	Directory string
}

// Report is the result of a run.
type Report struct {
	Seed uint64 `json:"seed"`
	// Violations lists the violated invariants.
	Violations []string `json:"broken"`
	// Faults counts the injected faults by kind.
	Faults map[Kind]int `json:"faults"`
	// Links are the rates of the daemons' links and the growth of the configuration.
	Links Links `json:"links"`
	// Silences are the times at which open connections become unresponsive.
	Silences []Silence `json:"silences,omitempty"`
	// Evacuations are the evacuated zones.
	Evacuations []Evacuation `json:"evacuations,omitempty"`
	// Workers are the worker faults that are not part of the plan.
	Workers WorkerFaults `json:"workers"`
	// InstanceFaults are the restarts of workers and the invalid worker rows.
	InstanceFaults InstanceFaults `json:"lives"`
	// AddressFaults are the false worker rows and the cuts between owners and workers.
	AddressFaults AddressFaults `json:"addresses"`
	// QueueMoves are the moves of the queue to other pools.
	QueueMoves []QueueMove `json:"queue_moves,omitempty"`
	// MessageDelays are the delays of single messages between daemons and workers.
	MessageDelays MessageDelays `json:"message_delays"`
	// Overtaken counts the messages between daemons and workers that later ones overtook.
	Overtaken standin.Overtaken `json:"overtaken"`
	// LargestRows holds the size in bytes of the largest row of each kind that a daemon has written.
	LargestRows map[string]int `json:"largest_rows"`
	// Answers counts the responses to callers by call and status.
	Answers map[string]int `json:"answers"`
	// States counts accepted jobs by final state.
	States map[taskgraph.State]int `json:"states"`
	Logs   string                  `json:"logs"`
}

// run is the state of one soak run.
type run struct {
	options      Options
	platform     *standin.Server
	daemons      []*daemon
	observations observations
	closed       chan struct{}
	replaced     int

	keyMutex   sync.Mutex
	keyVersion int

	workers    WorkerFaults
	queueMoves []QueueMove

	// configurationMutex serializes writes of the configuration, so that versions only increase.
	configurationMutex sync.Mutex
	// configuration is the latest version.
	configuration standin.Configuration
}

const (
	racks          = 3
	workersPerRack = 4
	readyTimeout   = 30 * time.Second
	// settleTimeout is how long accepted jobs may take to end after the last fault.
	settleTimeout = 60 * time.Second
	pollPeriod    = 250 * time.Millisecond
	// Callers use a new key after half of keyOverlap.
	keyOverlap = 6 * time.Second
)

// Run runs one seed.
func Run(options Options) (*Report, error) {
	cluster := simulation.NewCluster(racks, workersPerRack)
	cluster.Work = func(name taskgraph.TaskName) time.Duration { return cluster.Estimate(name) }
	drawLateDelays(cluster, &options)
	workerFaults := NewWorkerFaults(options.Seed, options.FaultDuration)
	cluster.SkipCapacityCheck = workerFaults.Unguarded
	platform, err := standin.Start(cluster)
	if err != nil {
		return nil, err
	}
	defer platform.Close()
	r := &run{options: options, workers: workerFaults, platform: platform, closed: make(chan struct{}), observations: observations{answers: map[string]int{}}}
	if options.QueueMoves || options.OtherDaemonPath == "" && !options.WithoutQueueMoves {
		r.queueMoves = NewQueueMoves(options.Seed, options.FaultDuration, options.QueueMoves)
	}
	if len(r.queueMoves) > 0 {
		r.addQueuePools()
	}
	r.putInitialConfiguration()
	defer r.closeDaemons()
	if err := r.start(); err != nil {
		return nil, err
	}
	report := &Report{Seed: options.Seed, Violations: []string{}, Faults: map[Kind]int{}, Logs: options.Directory, States: map[taskgraph.State]int{}}
	r.injectFaults(report)
	r.waitForJobs(report)
	r.collectViolations(report)
	return report, nil
}

func (r *run) start() error {
	for number := range r.options.Daemons {
		d, err := newDaemon(number, r.options.programsFor(number), r.options.Directory, r.platform.Address())
		if err != nil {
			return err
		}
		r.daemons = append(r.daemons, d)
		if err := d.start(); err != nil {
			return err
		}
	}
	caller := standin.NewClient(callTimeout)
	deadline := time.Now().Add(readyTimeout)
	for _, d := range r.daemons {
		for !caller.Ready(d.readinessAddress) {
			if time.Now().After(deadline) {
				return errors.Newf("node-%d did not become ready within the startup timeout; logs in %s", d.number, r.options.Directory)
			}
			time.Sleep(pollPeriod)
		}
	}
	return nil
}

func (r *run) startDaemon(d *daemon) {
	if err := d.start(); err != nil {
		r.observations.addViolation("cannot start the process of node-%d: %v", d.number, err)
	}
}

func (r *run) closing() bool {
	select {
	case <-r.closed:
		return true
	default:
		return false
	}
}

// injectFaults runs the callers and injects the faults of the seed until the run is over.
func (r *run) injectFaults(report *Report) {
	var callers, pending sync.WaitGroup
	for number := range r.options.Callers {
		callers.Go(func() { r.callerLoop(number) })
	}
	began := time.Now()
	report.Links = NewLinks(r.options.Seed, r.options.FaultDuration, len(r.daemons))
	r.applyLinks(report.Links, began, &pending)
	report.Silences = NewSilences(r.options.Seed, r.options.FaultDuration)
	r.applySilences(report.Silences, began, &pending)
	report.Evacuations = NewEvacuations(r.options.Seed, r.options.FaultDuration)
	r.applyEvacuations(report.Evacuations, began, &pending)
	report.Workers = r.workers
	r.applyWorkerFaults(began, &pending)
	report.InstanceFaults = NewInstanceFaults(r.options.Seed, r.options.FaultDuration, r.options.InstanceFaults)
	r.applyInstanceFaults(report.InstanceFaults, began, &pending)
	if r.options.OtherDaemonPath == "" {
		// Earlier versions take a false row for the end of a worker.
		report.AddressFaults = NewAddressFaults(r.options.Seed, r.options.FaultDuration)
	}
	r.applyAddressFaults(report.AddressFaults, began, &pending)
	report.QueueMoves = r.queueMoves
	r.applyQueueMoves(r.queueMoves, began, &pending)
	report.MessageDelays = NewMessageDelays(r.options.Seed)
	r.applyMessageDelays(report.MessageDelays, began, &pending)
	for _, fault := range NewPlan(r.options.Seed, r.options.FaultDuration) {
		time.Sleep(time.Until(began.Add(fault.At)))
		report.Faults[fault.Kind]++
		if end := r.inject(fault); end != nil {
			pending.Go(func() {
				time.Sleep(fault.Length)
				end()
			})
		}
	}
	time.Sleep(time.Until(began.Add(r.options.FaultDuration)))
	pending.Wait()
	close(r.closed)
	callers.Wait()
}

// applyLinks limits the rates of the daemons' links and schedules the growth of the configuration.
func (r *run) applyLinks(links Links, began time.Time, pending *sync.WaitGroup) {
	for number, rate := range links.Rates {
		r.daemons[number].proxy.SetRate(rate)
	}
	for _, growth := range links.Growths {
		pending.Go(func() {
			time.Sleep(time.Until(began.Add(growth.At)))
			r.putConfiguration(func(c *standin.Configuration) { c.ExtraQueues += growth.Queues })
		})
	}
}

// applySilences schedules the silences.
func (r *run) applySilences(silences []Silence, began time.Time, pending *sync.WaitGroup) {
	for _, silence := range silences {
		d := r.daemons[silence.Target%len(r.daemons)]
		pending.Go(func() {
			time.Sleep(time.Until(began.Add(silence.At)))
			d.recordFault(silenceEffect + faultMargin)
			d.proxy.SilenceOpenConnections()
		})
	}
}

// waitForJobs waits until every accepted job has ended, for at most settleTimeout.
func (r *run) waitForJobs(report *Report) {
	caller := standin.NewClient(callTimeout)
	deadline := time.Now().Add(settleTimeout)
	for _, s := range r.observations.submissions {
		if !s.accepted {
			continue
		}
		for number := 0; !s.state.Final() && time.Now().Before(deadline); number++ {
			d := r.daemons[number%len(r.daemons)]
			answer, err := caller.State(d.callerAddress, r.key(), s.spec.ID)
			if err == nil && answer.State != "" {
				s.state = answer.State
			}
			if !s.state.Final() {
				time.Sleep(pollPeriod)
			}
		}
		report.States[s.state]++
	}
}

// collectViolations adds the violations seen by callers, workers and daemon processes to the
// report.
func (r *run) collectViolations(report *Report) {
	for _, s := range r.observations.submissions {
		r.checkJob(s)
	}
	report.Violations = append(report.Violations, r.observations.violations...)
	r.platform.WithLock(func() { report.Violations = append(report.Violations, r.platform.Cluster.Checker.Violations...) })
	for _, d := range r.daemons {
		d.mutex.Lock()
		report.Violations = append(report.Violations, d.unexpectedExits...)
		d.mutex.Unlock()
	}
	report.Answers = r.observations.answers
	report.Overtaken = r.platform.Overtaken()
	r.platform.WithLock(func() { report.LargestRows = maps.Clone(r.platform.Cluster.Store.LargestRows) })
}

// checkJob compares the final state of a job with what its caller was told.
func (r *run) checkJob(s *submission) {
	starts := 0
	r.platform.WithLock(func() { starts = r.platform.Cluster.Checker.JobStarts(s.spec.ID) })
	switch {
	case s.refused && starts > 0:
		r.observations.addViolation("job %s was refused but has started runs", s.spec.ID)
	case !s.accepted:
	case !s.state.Final():
		r.observations.addViolation("accepted job %s did not reach a final state; last state %q", s.spec.ID, s.state)
	case s.poison && s.state == taskgraph.Failed:
	case s.poison && s.state == taskgraph.Completed:
		r.observations.addViolation("job %s is reported as completed although one of its tasks always crashes its worker", s.spec.ID)
	case s.state == taskgraph.Failed:
		r.observations.addViolation("job %s is reported as failed although all its tasks can complete", s.spec.ID)
	case s.state == taskgraph.Cancelled && !s.cancelTried:
		r.observations.addViolation("job %s is reported as cancelled without a cancellation request", s.spec.ID)
	case s.state == taskgraph.Completed && !r.allDone(s):
		r.observations.addViolation("job %s is reported as completed although tasks are unfinished", s.spec.ID)
	}
}

func (r *run) allDone(s *submission) bool {
	done := true
	r.platform.WithLock(func() { done = r.platform.Cluster.Checker.JobDone(s.spec.ID) })
	return done
}

func (r *run) closeDaemons() {
	for _, d := range r.daemons {
		d.close()
	}
}

// key returns the newest key that callers use.
func (r *run) key() string {
	r.keyMutex.Lock()
	defer r.keyMutex.Unlock()
	return keyName(r.keyVersion)
}

func keyName(version int) string { return fmt.Sprintf("key-%d", version) }

// replaceKey publishes a configuration with the current key and a new one. Callers use the new key
// after half of keyOverlap.
func (r *run) replaceKey() {
	r.keyMutex.Lock()
	version := r.keyVersion + 1
	r.keyMutex.Unlock()
	r.putKeys(keyName(version-1), keyName(version))
	time.AfterFunc(keyOverlap/2, func() {
		r.keyMutex.Lock()
		r.keyVersion = max(r.keyVersion, version)
		r.keyMutex.Unlock()
	})
}

// putInitialConfiguration publishes the first configuration.
func (r *run) putInitialConfiguration() {
	r.keyVersion = 1
	r.configuration = standin.Configuration{MaxAttempts: maxAttempts, Priority: 1, IgnoreCapacity: r.workers.Unguarded}
	if len(r.queueMoves) > 0 {
		r.configuration.Pools = queuePools
	}
	r.putKeys(keyName(r.keyVersion))
}

func (r *run) putKeys(keys ...string) {
	r.putConfiguration(func(c *standin.Configuration) { c.Keys = keys })
}

// putConfiguration changes the latest configuration and publishes it as a new version.
func (r *run) putConfiguration(change func(*standin.Configuration)) {
	r.configurationMutex.Lock()
	defer r.configurationMutex.Unlock()
	change(&r.configuration)
	r.configuration.Version++
	r.platform.PutConfiguration(r.configuration)
}

// CreateRunDirectory creates the directory for the settings and logs of a seed.
func CreateRunDirectory(parent string, seed uint64) (string, error) {
	folder := filepath.Join(parent, fmt.Sprintf("seed-%d", seed))
	return folder, os.MkdirAll(folder, 0o755)
}
