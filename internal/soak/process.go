package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/wheatroad/wheatroad/internal/faultproxy"
	"github.com/wheatroad/wheatroad/internal/freeport"
	"github.com/wheatroad/wheatroad/internal/simulation"
)

// daemon is a wheatroadd process and the faults injected into it.
type daemon struct {
	number           int
	programs         programs
	directory        string
	settings         string
	callerAddress    string
	readinessAddress string
	proxy            *faultproxy.Proxy

	mutex   sync.Mutex
	command *exec.Cmd
	// exited is closed when the current process has exited.
	exited chan struct{}
	// stopping is set during a planned stop.
	stopping bool
	// faultUntil is the end of the last injected fault.
	faultUntil time.Time
	// plannedStopUntil is the end of the last planned stop.
	plannedStopUntil time.Time
	log              *os.File
	// unexpectedExits lists exits that were not requested.
	unexpectedExits []string
}

// stopGracePeriod is the time between SIGTERM and SIGKILL, as on the platform.
const stopGracePeriod = 6 * time.Second

func newDaemon(number int, programs programs, folder, platform string) (*daemon, error) {
	proxy, err := faultproxy.New(platform)
	if err != nil {
		return nil, err
	}
	d := &daemon{number: number, programs: programs, directory: folder, proxy: proxy}
	var peers string
	for _, address := range []*string{&d.callerAddress, &d.readinessAddress, &peers} {
		if *address, err = freeport.Address(); err != nil {
			return nil, err
		}
	}
	d.settings = filepath.Join(folder, fmt.Sprintf("node-%d.toml", number))
	text := fmt.Sprintf("name = \"node-%d\"\nzone = \"z\"\ncallers = %q\nreadiness = %q\npeers = %q\nstore = %q\ncpu_share = 0.5\n[bounds]\nevacuation_ms = %d\n",
		number, d.callerAddress, d.readinessAddress, peers, proxy.Address(), simulation.EvacuationBound.Milliseconds())
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	d.log, err = os.Create(filepath.Join(folder, fmt.Sprintf("node-%d.log", number)))
	return d, err
}

// start starts the process unless it is running.
func (d *daemon) start() error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.command != nil {
		return nil
	}
	command := exec.Command(d.programs.next(), "serve", d.settings)
	command.Stdout, command.Stderr = d.log, d.log
	// Kills the daemon if this process exits for any reason.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	d.command, d.exited, d.stopping = command, exited, false
	go d.wait(command, exited)
	return nil
}

func (d *daemon) wait(command *exec.Cmd, exited chan struct{}) {
	err := command.Wait()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	signalled := command.ProcessState.Sys().(syscall.WaitStatus).Signaled()
	if !signalled && !(d.stopping && err == nil) {
		d.unexpectedExits = append(d.unexpectedExits, fmt.Sprintf("node-%d exited unexpectedly: %v", d.number, err))
	}
	d.command = nil
	close(exited)
}

// signal sends a signal to the process. It returns a channel that is closed when the process exits,
// or nil if no process is running.
func (d *daemon) signal(signal syscall.Signal) chan struct{} {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.command == nil {
		return nil
	}
	if signal == syscall.SIGTERM {
		d.stopping = true
		d.plannedStopUntil = time.Now().Add(stopGracePeriod + time.Second)
	}
	_ = d.command.Process.Signal(signal)
	return d.exited
}

// recordFault records that an injected fault affects the daemon for the given time.
func (d *daemon) recordFault(length time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if until := time.Now().Add(length); until.After(d.faultUntil) {
		d.faultUntil = until
	}
}

// condition describes the faults and planned stops of a daemon in a period.
type condition struct {
	faulty      bool
	plannedStop bool
}

// conditionSince returns the condition of the daemon since a time.
func (d *daemon) conditionSince(from time.Time) condition {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return condition{faulty: d.faultUntil.After(from), plannedStop: d.plannedStopUntil.After(from)}
}

// kill sends SIGKILL and waits until the process has exited.
func (d *daemon) kill() {
	if exited := d.signal(syscall.SIGKILL); exited != nil {
		<-exited
	}
}

// stop sends SIGTERM, and SIGKILL after the grace period.
func (d *daemon) stop() {
	exited := d.signal(syscall.SIGTERM)
	if exited == nil {
		return
	}
	select {
	case <-exited:
	case <-time.After(stopGracePeriod):
		d.kill()
	}
}

// close kills the process and closes its proxy and log.
func (d *daemon) close() {
	d.signal(syscall.SIGCONT)
	d.kill()
	d.proxy.Close()
	_ = d.log.Close()
}
