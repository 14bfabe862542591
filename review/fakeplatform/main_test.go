//go:build review

// Package fakeplatform plays the cases of the second review. It is a stand-in of the platform's store,
// of workers, clients and the operator, and starts the system's own processes against it. All of it
// stands in files for tests, so that it is no part of the product; its test binary is the program.
package fakeplatform

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

const (
	ruleHeld   = 0
	ruleBroken = 1
	cannotRun  = 2
)

// cases are the scenarios by name. Each starts the system, plays its order of events and judges. The
// first three are those of the folders 4, 5 and 7. The others are told in REPORT-2.md.
var cases = map[string]func(*system) error{
	"config-names":    playConfigNames,
	"drained-service": playDrainedService,
	"failed-once":     playFailedOnce,

	"crash-under-task": playCrashUnderTask,
	"alone-for-good":   playAloneForGood,
	"guarantee":        playGuarantee,
	"late-acceptance":  playLateAcceptance,
	"late-start":       playLateStart,
	"wide-job":         playWideJob,
}

// TestMain is the program: fakeplatform CASE FOLDER.
func TestMain(*testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: fakeplatform CASE FOLDER")
		os.Exit(cannotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run func(*system) error, folder string) int {
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	s, err := newSystem(r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer s.close()
	if err := run(s); err != nil {
		r.line("case", "could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	if count := r.violations(); count > 0 {
		r.line("case", "broken: %d", count)
		fmt.Println("broken:", r.broken[0])
		return ruleBroken
	}
	r.line("case", "held")
	fmt.Println("held")
	return ruleHeld
}
