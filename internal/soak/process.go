package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/wheatroad/wheatroad/internal/faultproxy"
	"github.com/wheatroad/wheatroad/internal/simulation"
)

// daemon is one real process of wheatroadd and what was done to it.
type daemon struct {
	number   int
	program  string
	folder   string
	settings string
	callers  string
	ready    string
	proxy    *faultproxy.Proxy

	mutex   sync.Mutex
	command *exec.Cmd
	// exited is closed once the present process has ended.
	exited chan struct{}
	// stopping is true while a planned stop is under way.
	stopping bool
	// faultUntil is when the last unplanned disruption of this daemon is over.
	faultUntil time.Time
	// plannedStopUntil is when the last planned stop is over.
	plannedStopUntil time.Time
	log              *os.File
	// unexpectedExits lists ends of the process that nobody asked for.
	unexpectedExits []string
}

// stopGracePeriod is how long a planned stop may take before the process is killed, as the
// platform does it.
const stopGracePeriod = 6 * time.Second

func newDaemon(number int, program, folder, platform string) (*daemon, error) {
	proxy, err := faultproxy.New(platform)
	if err != nil {
		return nil, err
	}
	d := &daemon{number: number, program: program, folder: folder, proxy: proxy}
	var peers string
	for _, address := range []*string{&d.callers, &d.ready, &peers} {
		if *address, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	d.settings = filepath.Join(folder, fmt.Sprintf("node-%d.toml", number))
	text := fmt.Sprintf("name = \"node-%d\"\nzone = \"z\"\ncallers = %q\nreadiness = %q\npeers = %q\nstore = %q\ncpu_share = 0.5\n[bounds]\nevacuation_ms = %d\n",
		number, d.callers, d.ready, peers, proxy.Address(), simulation.EvacuationBound.Milliseconds())
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	d.log, err = os.Create(filepath.Join(folder, fmt.Sprintf("node-%d.log", number)))
	return d, err
}

// Daemons listen on ports below those that the system gives out by itself, 32768 and up on
// Linux: of those it may give one to another process as soon as its listener is closed, as it
// did to two soaks that ran at once.
const (
	firstPort = 10000
	portCount = 22000
	// portSpread lies between the ports that processes with successive identifiers begin at.
	portSpread = 611
)

// portCounter counts the ports that were tried.
var portCounter atomic.Int64

// freeAddress returns a loopback address that nobody listens on, another one each time.
func freeAddress() (string, error) {
	var failure error
	for range portCount {
		port := firstPort + (int64(os.Getpid())*portSpread+portCounter.Add(1))%portCount
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			failure = err
			continue
		}
		address := listener.Addr().String()
		return address, listener.Close()
	}
	return "", failure
}

// start starts the process, unless one runs.
func (d *daemon) start() error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.command != nil {
		return nil
	}
	command := exec.Command(d.program, "serve", d.settings)
	command.Stdout, command.Stderr = d.log, d.log
	// The process ends with this one, however this one ends.
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
		d.unexpectedExits = append(d.unexpectedExits, fmt.Sprintf("node-%d ended by itself: %v", d.number, err))
	}
	d.command = nil
	close(exited)
}

// signal sends a signal to the process, if one runs. It returns a channel that is
// closed once that process has ended, or nil.
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

// recordFault notes an unplanned disruption that lasts for a while.
func (d *daemon) recordFault(length time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if until := time.Now().Add(length); until.After(d.faultUntil) {
		d.faultUntil = until
	}
}

// condition is what was going on at a daemon.
type condition struct {
	faulty      bool
	plannedStop bool
}

// conditionSince tells what went on at the daemon at any time conditionSince from.
func (d *daemon) conditionSince(from time.Time) condition {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return condition{faulty: d.faultUntil.After(from), plannedStop: d.plannedStopUntil.After(from)}
}

// kill ends the process at once and waits until it is gone.
func (d *daemon) kill() {
	if exited := d.signal(syscall.SIGKILL); exited != nil {
		<-exited
	}
}

// stop ends the process the planned way.
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

// close ends the process and all that belongs to it.
func (d *daemon) close() {
	d.signal(syscall.SIGCONT)
	d.kill()
	d.proxy.Close()
	_ = d.log.Close()
}
