package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/wheatroad/wheatroad/internal/api"
	"github.com/wheatroad/wheatroad/internal/bench"
	"github.com/wheatroad/wheatroad/internal/standin"
)

// Parameters of the overload test. A worker has 8 accelerators and a job uses 4.
const (
	nodeCount     = 9
	workerCount   = 56
	jobsPerWorker = 2
	jobRunSeconds = 2.0
	operatorKey   = "storm-operator-key"
	// smallTenantShare is the fraction of the capacity that the small tenant requests.
	smallTenantShare = 0.1
	// One in slowWorkerInterval workers is slow.
	slowWorkerInterval = 10
	// maxQueuedJobs is each tenant's limit of queued jobs in a domain.
	maxQueuedJobs = 60
	// drainTime is how long the test waits for running jobs before it counts results.
	drainTime = 10 * time.Second
)

// OverloadPhase is the result of the test at one load.
type OverloadPhase struct {
	Load      float64        `json:"load"`
	Seconds   float64        `json:"seconds"`
	Submitted int            `json:"submitted"`
	Answers   map[string]int `json:"answers"`
	// Killed is the owner that was killed at the midpoint of the phase.
	Killed string `json:"killed"`
	// Frozen is the owner that was suspended at the midpoint, for a quarter of the phase.
	Frozen string `json:"frozen"`
	// Finished counts the jobs that finished during the phase.
	Finished int `json:"finished"`
	// Goodput is the number of finished jobs per second.
	Goodput float64 `json:"goodput"`
	// AttemptsPerRequest is the mean number of attempts per submission, including nodes' retries.
	AttemptsPerRequest float64 `json:"attempts_per_request"`
	// SmallTenantShed counts the small tenant's submissions that were rejected because of load.
	SmallTenantShed int `json:"small_tenant_shed"`
	// RanTwice counts non-repeatable jobs that ran more than once.
	RanTwice int `json:"ran_twice"`
	// NotRunRan counts jobs that ran although the caller received the outcome not_run.
	NotRunRan int `json:"not_run_ran"`
}

// OverloadReport is the result of the overload test.
type OverloadReport struct {
	Phases []OverloadPhase `json:"phases"`
	// GoodputRatio is the goodput at twice the capacity divided by the goodput at capacity.
	GoodputRatio float64 `json:"goodput_ratio"`
}

func newOverloadCommand() *cobra.Command {
	var binaries string
	var seconds float64
	command := &cobra.Command{
		Use:     "storm",
		Short:   "Load nine daemons at one and two times their capacity, with slow workers, one daemon killed and one suspended",
		Example: "  wheatroad-bench storm --bin bin --seconds 20",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			report, err := runOverload(binaries, seconds)
			if err != nil {
				return err
			}
			if err := json.NewEncoder(command.OutOrStdout()).Encode(report); err != nil {
				return err
			}
			for _, phase := range report.Phases {
				if phase.RanTwice+phase.NotRunRan > 0 {
					return errors.Wrap(bench.ErrInvariantViolated, "jobs ran twice or after the outcome not_run; see ran_twice and not_run_ran")
				}
			}
			return nil
		},
	}
	command.Flags().StringVar(&binaries, "bin", "bin", "directory with the binaries")
	command.Flags().Float64Var(&seconds, "seconds", 20, "length of each phase")
	return command
}

// testCluster is a platform and daemons that run as child processes.
type testCluster struct {
	directory string
	binaries  string
	processes map[string]*exec.Cmd
	platform  string
	addresses []string
	client    *http.Client
}

func runOverload(binaries string, seconds float64) (*OverloadReport, error) {
	report := &OverloadReport{}
	for _, load := range []float64{1, 2} {
		phase, err := runPhase(binaries, load, seconds)
		if err != nil {
			return nil, err
		}
		report.Phases = append(report.Phases, *phase)
	}
	report.GoodputRatio = report.Phases[1].Goodput / report.Phases[0].Goodput
	return report, nil
}

func runPhase(binaries string, load, seconds float64) (*OverloadPhase, error) {
	folder, err := os.MkdirTemp("", "wheatroad-storm")
	if err != nil {
		return nil, err
	}
	s := &testCluster{directory: folder, binaries: binaries, processes: map[string]*exec.Cmd{}, client: &http.Client{Timeout: 20 * time.Second}}
	defer s.stop()
	if err := s.start(); err != nil {
		return nil, err
	}
	return s.run(load, seconds)
}

// stop kills all child processes and removes their files.
func (s *testCluster) stop() {
	for _, process := range s.processes {
		_ = process.Process.Signal(syscall.SIGCONT)
		_ = process.Process.Kill()
		_ = process.Wait()
	}
	_ = os.RemoveAll(s.directory)
}

func (s *testCluster) run(load, seconds float64) (*OverloadPhase, error) {
	t := &phaseRecorder{phase: &OverloadPhase{Load: load, Seconds: seconds, Answers: map[string]int{}}, accepted: map[string]bool{}, notRun: map[string]bool{}}
	s.slowDownWorkers()
	capacity := workerCount * jobsPerWorker / jobRunSeconds
	var group sync.WaitGroup
	began := time.Now()
	length := time.Duration(seconds * float64(time.Second))
	group.Go(func() { s.submitAtRate(t, "large", capacity*(load-smallTenantShare), began.Add(length)) })
	group.Go(func() { s.submitAtRate(t, "small", capacity*smallTenantShare, began.Add(length)) })
	time.Sleep(length / 2)
	killed, suspended, err := s.findTwoOwners()
	if err != nil {
		return nil, err
	}
	_ = s.processes[killed].Process.Kill()
	_ = s.processes[suspended].Process.Signal(syscall.SIGSTOP)
	time.Sleep(length / 4)
	_ = s.processes[suspended].Process.Signal(syscall.SIGCONT)
	t.phase.Killed, t.phase.Frozen = killed, suspended
	group.Wait()
	finishedBy := time.Now()
	time.Sleep(drainTime)
	return t.phase, s.collectResults(t, began, finishedBy)
}

// findTwoOwners returns two nodes that each own a domain.
func (s *testCluster) findTwoOwners() (first, second string, err error) {
	var answer struct {
		Domains []api.DomainResponse `json:"domains"`
	}
	for _, address := range s.addresses {
		if err = s.call(address, operatorKey, "GET", "/v1/domains", nil, &answer); err == nil {
			break
		}
	}
	for _, domain := range answer.Domains {
		switch owner := domain.Lease.Owner; {
		case owner == "" || owner == first:
		case first == "":
			first = owner
		default:
			return first, owner, nil
		}
	}
	return "", "", errors.CombineErrors(errors.New("fewer than two nodes own domains"), err)
}

// slowDownWorkers delays the responses of one in slowWorkerInterval workers.
func (s *testCluster) slowDownWorkers() {
	number := 0
	for zone, racks := range map[string]int{"z1": 3, "z2": 2, "z3": 2} {
		for rack := range racks {
			for worker := range 8 {
				number++
				if number%slowWorkerInterval != 0 {
					continue
				}
				fault := map[string]any{"service": fmt.Sprintf("worker:r/%s/rack%02d/worker%02d", zone, rack, worker), "mode": standin.Slow, "delay_seconds": 0.5}
				_ = s.call(s.platform, "", "POST", "/faults", fault, nil)
			}
		}
	}
}
