//go:build review

// Package rowsite is a program that plays one case against real nodes on loopback: a stand-in of the platform's store
// that keeps to the limits of the settings, stand-in workers, and clients. It exits with 1 if the rule
// of the case was broken, with 0 if it held, and with 2 if the case could not run.
package rowsite

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play is the course of a case. It returns whether the rule held.
type play func(s *site, trouble bool) (held bool, err error)

var plays = map[string]play{
	"kept-free": playKeptFree,
	"far-rack":  playFarRack,
	"full-node": playFullNode,
}

// TestMain is the program: rowsite PLAY RECORD, from the top of the repository.
func TestMain(*testing.M) {
	const arguments = 3
	if len(os.Args) != arguments || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rowsite PLAY RECORD, from the top of the repository")
		os.Exit(exitNotRun)
	}
	os.Exit(execute(plays[os.Args[1]], os.Args[2]))
}

func execute(course play, path string) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	s, err := newSite(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer s.close()
	s.closeOnSignal()
	held, err := course(s, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.verdict("the case could not run: %v", err)
		return exitNotRun
	case held:
		r.verdict("the rule held")
		return exitHeld
	}
	r.verdict("the rule was broken")
	return exitBroken
}

// workerRoom is the room of a worker of the sheet.
var workerRoom = resources{CPU: 128000, Memory: 524288, GPUs: 8}

// begin starts workers and three nodes, and waits until they serve.
func (s *site) begin(workers int) error {
	s.putConfiguration(7)
	if err := s.addWorkers(workers, workerRoom); err != nil {
		return err
	}
	for i := range 3 {
		if err := s.addNode(i); err != nil {
			return err
		}
	}
	return s.awaitReady(10 * time.Second)
}

// closeOnSignal ends all processes, and this one, if it is told to end.
func (s *site) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		s.close()
		os.Exit(exitNotRun)
	}()
}
