//go:build review

// Package drill plays one case of the review: it starts a stand-in of the platform and real nodes, and
// applies a rule to what clients and workers have seen. It is a test binary that TestMain runs as a
// program.
package drill

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	couldNot   = 2
)

const (
	// caseTimeout is how long a case may take.
	caseTimeout  = 110 * time.Second
	nodeCount    = 3
	readyTimeout = 20 * time.Second
)

// play is one play of a case.
type play struct {
	*world
	*system
	trouble bool
}

// scenario is a case: its platform, and what happens on it. run returns an exit code.
type scenario struct {
	prepare func(w *world) error
	run     func(p *play) int
}

var scenarios = map[string]scenario{
	"large-job":   {prepareLargeJob, playLargeJob},
	"route-moves": {prepareRouteMoves, playRouteMoves},
	"late-order":  {prepareLateOrder, playLateOrder},
	"gang-fails":  {prepareGangFails, playGangFails},
	"guarantee":   {prepareGuarantee, playGuarantee},
	"backlog":     {prepareBacklog, playBacklog},
}

// TestMain plays the case that the flags name. Its exit code is that of the case.
func TestMain(*testing.M) {
	name := flag.String("case", "", "case to play")
	path := flag.String("record", "record.txt", "file of what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "play with the disruption")
	flag.Parse()
	os.Exit(playCase(*name, *path, *trouble))
}

func playCase(name, path string, trouble bool) int {
	chosen, known := scenarios[name]
	if !known {
		fmt.Println("no such case:", name)
		return couldNot
	}
	p, err := begin(chosen, trouble)
	if err != nil {
		fmt.Println("the case could not run:", err)
		return couldNot
	}
	defer p.end()
	result := p.await(chosen)
	p.record.add("exit %d", result)
	if err := p.record.write(path); err != nil {
		fmt.Println(err)
		return couldNot
	}
	fmt.Println("exit", result)
	return result
}

// begin starts the platform and the nodes.
func begin(chosen scenario, trouble bool) (*play, error) {
	w, err := newWorld()
	if err != nil {
		return nil, err
	}
	if err := chosen.prepare(w); err != nil {
		return nil, err
	}
	s, err := startSystem(nodeCount, w.address)
	if err != nil {
		return nil, err
	}
	if err := s.waitReady(readyTimeout); err != nil {
		s.end()
		return nil, err
	}
	w.record.add("%d nodes are ready", len(s.nodes))
	return &play{world: w, system: s, trouble: trouble}, nil
}

// await plays the case until its end, a signal or its time-out.
func (p *play) await(chosen scenario) int {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	verdict := make(chan int, 1)
	go func() { verdict <- chosen.run(p) }()
	select {
	case result := <-verdict:
		return result
	case <-interrupted:
		p.record.add("interrupted")
	case <-time.After(caseTimeout):
		p.record.add("out of time")
	}
	return couldNot
}
