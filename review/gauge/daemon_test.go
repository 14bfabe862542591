//go:build review

package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	serviceName = "turbine-watch"
	// daemonProgram and daemonArgument are the command of the deploy file.
	daemonProgram  = "target/wheatroadd"
	daemonArgument = "serve"
	// settingsTemplate is the template of the deploy file.
	settingsTemplate = "deploy/node.toml"
	// memoryLimit and descriptorLimit are those of a machine of the small sites.
	memoryLimit     = 284
	descriptorLimit = 4100
)

var metricsSetting = regexp.MustCompile(`(?m)^metrics = .*$`)

// daemon is one process of the project.
type daemon struct {
	name, callers, readiness, peers, metrics string
	settings, logPath                        string
	process                                  *exec.Cmd
	exited                                   chan struct{}
}

// Ports of the daemons. They are below those that the kernel gives to connections, so that no connection
// takes one while its daemon is down.
const (
	firstPort   = 12000
	portCount   = 16000
	portRetries = 200
)

// freeAddress returns a loopback address with a free port.
func freeAddress() (string, error) {
	for range portRetries {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		if listener, err := net.Listen("tcp", address); err == nil {
			return address, listener.Close()
		}
	}
	return "", errors.New("no free port")
}

// newDaemon writes the settings of a node.
func newDaemon(number int, store, folder string) (*daemon, error) {
	d := &daemon{name: fmt.Sprintf("frontend-%d", number)}
	for _, target := range []*string{&d.callers, &d.readiness, &d.peers, &d.metrics} {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		*target = address
	}
	d.settings = filepath.Join(folder, d.name+".toml")
	d.logPath = filepath.Join(folder, d.name+".log")
	template, err := os.ReadFile(settingsTemplate)
	if err != nil {
		return nil, err
	}
	text := fill(string(template), nodeFields(d, fmt.Sprintf("zone-%d", number%3), store))
	// All nodes share one address here, so that the port of the metrics can't be the same for all.
	text = metricsSetting.ReplaceAllString(text, fmt.Sprintf("metrics = %q", d.metrics))
	return d, os.WriteFile(d.settings, []byte(text), 0o600)
}

// start starts the process. It ends at the latest with this one.
func (d *daemon) start() error {
	log, err := os.OpenFile(d.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	program, err := filepath.Abs(daemonProgram)
	if err != nil {
		return err
	}
	d.process = exec.Command(program, daemonArgument)
	d.process.Env = []string{"WHEATROAD_CONFIG=" + d.settings, "WHEATROAD_STORE_ROW_BYTES=" + strconv.Itoa(maxRowBytes), "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}
	d.process.Stdout, d.process.Stderr = log, log
	d.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.process.Start(); err != nil {
		return err
	}
	d.exited = make(chan struct{})
	process, exited := d.process, d.exited
	go func() {
		_ = process.Wait()
		close(exited)
	}()
	return nil
}

func (d *daemon) signal(signal syscall.Signal) { _ = d.process.Process.Signal(signal) }

// kill ends the process at once.
func (d *daemon) kill() {
	if d.process == nil {
		return
	}
	d.signal(syscall.SIGKILL)
	select {
	case <-d.exited:
	case <-time.After(5 * time.Second):
	}
}

// ended reports whether the process has ended by itself.
func (d *daemon) ended() bool {
	select {
	case <-d.exited:
		return true
	default:
		return false
	}
}

// residentMB returns the memory of the process in megabytes; 0 if unknown.
func (d *daemon) residentMB() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.process.Process.Pid))
	if err != nil {
		return 0
	}
	kilobytes := 0
	for _, line := range strings.Split(string(text), "\n") {
		if strings.HasPrefix(line, "VmRSS:") {
			_, _ = fmt.Sscanf(strings.TrimPrefix(line, "VmRSS:"), "%d", &kilobytes)
		}
	}
	return kilobytes / 1024
}
