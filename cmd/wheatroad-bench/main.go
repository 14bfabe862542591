// Command wheatroad-bench generates and replays traces and runs load, overload and
// fault-injection tests.
package main

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/wheatroad/wheatroad/internal/bench"
	"github.com/wheatroad/wheatroad/internal/buildinfo"
)

// Exit statuses.
const (
	exitInvariantViolated = 1
	exitUsage             = 2
)

func main() {
	root := bench.NewCommand(buildinfo.Version())
	root.AddCommand(newOverloadCommand(), newFaultsCommand(), newLoadCommand())
	err := root.Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "wheatroad-bench:", err)
	if errors.Is(err, bench.ErrInvariantViolated) {
		os.Exit(exitInvariantViolated)
	}
	os.Exit(exitUsage)
}
