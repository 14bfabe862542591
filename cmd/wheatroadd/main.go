// Command wheatroadd is the scheduling daemon. Every entry machine runs the same program.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/wheatroad/wheatroad/internal/buildinfo"
	"github.com/wheatroad/wheatroad/internal/daemon"
	"github.com/wheatroad/wheatroad/internal/settings"
	"github.com/wheatroad/wheatroad/internal/telemetry"
)

// Exit statuses.
const (
	exitFailure  = 1
	exitSettings = 2
)

func main() {
	root := &cobra.Command{Use: "wheatroadd", Short: "The wheatroad scheduling daemon", Version: buildinfo.Version(), SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(newRunCommand(), newServeCommand(), newCheckCommand())
	err := root.Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, err)
	if _, invalid := err.(settings.FieldErrors); invalid {
		os.Exit(exitSettings)
	}
	os.Exit(exitFailure)
}

func newRunCommand() *cobra.Command {
	var platform string
	command := &cobra.Command{
		Use:     "run FILE",
		Short:   "Serve with the settings in FILE until a termination signal",
		Example: "  wheatroadd run /etc/wheatroad/node.toml",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return run(args[0], platform)
		},
	}
	command.Flags().StringVar(&platform, "platform-url", "", "overrides platform.url in the settings")
	return command
}

func run(path, platform string) error {
	s, err := settings.Read(path)
	if err != nil {
		return err
	}
	if platform != "" {
		s.Platform.URL = platform
		if problems := s.Validate(); len(problems) > 0 {
			return problems
		}
	}
	d, err := daemon.New(s, telemetry.NewLogger(os.Stderr, s.Log.Format))
	if err != nil {
		return err
	}
	stop := make(chan struct{})
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		close(stop)
	}()
	return d.Run(stop)
}

func newCheckCommand() *cobra.Command {
	var forServe bool
	command := &cobra.Command{
		Use:     "check FILE",
		Short:   "Check a settings file and report every invalid key",
		Example: "  wheatroadd check /etc/wheatroad/node.toml\n  wheatroadd check --serve node.toml",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			if err := check(args[0], forServe); err != nil {
				return err
			}
			fmt.Fprintln(command.OutOrStdout(), "ok")
			return nil
		},
	}
	command.Flags().BoolVar(&forServe, "serve", false, "the file is for the serve command")
	return command
}

func check(path string, forServe bool) error {
	if forServe {
		_, err := settings.ReadNode(path)
		return err
	}
	_, err := settings.Read(path)
	return err
}
