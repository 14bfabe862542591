//go:build review

package yard

import (
	"fmt"
	"os"
	"testing"
	"time"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	cannotRun  = 2
)

// cases are the cases by name. A case returns what broke the rule, or "".
var cases = map[string]func(y *yard, trouble bool) (string, error){}

// TestMain is the program: yard CASE RECORD.
func TestMain(*testing.M) {
	const arguments = 3
	if len(os.Args) != arguments || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: yard CASE RECORD")
		os.Exit(cannotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func play(name, path string, trouble bool) int {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer file.Close()
	folder, err := os.MkdirTemp("", "yard")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	rec := &record{file: file, began: time.Now()}
	y := &yard{record: rec, store: newStore(rec), folder: folder, service: "watch"}
	defer y.close()
	if y.storeAt, err = y.store.serve(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	broken, err := cases[name](y, trouble)
	switch {
	case err != nil:
		rec.note("case", "could not run: %v", err)
		fmt.Println("could not run:", err)
		return cannotRun
	case broken != "":
		rec.note("case", "BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		return ruleBroken
	}
	rec.note("case", "the rule held")
	fmt.Println("the rule held")
	return ruleHeld
}
