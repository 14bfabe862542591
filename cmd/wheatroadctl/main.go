// Command wheatroadctl submits jobs to wheatroad and manages its configuration.
package main

import (
	"fmt"
	"os"

	"github.com/wheatroad/wheatroad/internal/buildinfo"
	"github.com/wheatroad/wheatroad/internal/cli"
)

func main() {
	err := cli.New(buildinfo.Version()).Execute()
	if err != nil {
		fmt.Fprintln(os.Stderr, "wheatroadctl:", err)
	}
	os.Exit(cli.ExitStatus(err))
}
