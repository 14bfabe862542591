//go:build review

package rowsite

import (
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync"
	"time"
)

// node is one process of the system, and those that follow it at its addresses.
type node struct {
	name        string
	zone        string
	callers     string
	ready       string
	settings    string
	descriptors int
	logs        *os.File

	mutex   sync.Mutex
	process *exec.Cmd
	// exited is closed once the process has ended.
	exited  chan struct{}
	closing bool
	// darkFor is how long the machine is without power, or 0. calmSince is the end of the last such time.
	darkFor   time.Duration
	calmSince time.Time
	ownEnds   int
}

// command is the command of the deploy file, under the limit that the sheet sets for a machine.
func (n *node) command() *exec.Cmd {
	if n.descriptors == 0 {
		return exec.Command("target/wheatroadd", "serve")
	}
	return exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d && exec target/wheatroadd serve", n.descriptors))
}

// start starts the node's process, unless the play is over.
func (n *node) start() error {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.closing {
		return os.ErrClosed
	}
	process, exited := n.command(), make(chan struct{})
	process.Env = []string{"WHEATROAD_CONFIG=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	process.Stdout, process.Stderr = n.logs, n.logs
	if err := process.Start(); err != nil {
		return err
	}
	n.process, n.exited = process, exited
	if n.darkFor > 0 {
		n.darkFor, n.calmSince = 0, time.Now()
	}
	go func() {
		_ = process.Wait()
		close(exited)
	}()
	return nil
}

// losePower ends the node's process at once; it starts again after the given time.
func (n *node) losePower(darkFor time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.darkFor = darkFor
	_ = n.process.Process.Kill()
}

// restartsAfter returns how long the platform takes to start the node again.
func (n *node) restartsAfter() time.Duration {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return max(n.darkFor, restartDelay)
}

// close ends the process for good.
func (n *node) close() {
	n.mutex.Lock()
	n.closing = true
	process, exited := n.process, n.exited
	n.mutex.Unlock()
	if process != nil {
		_ = process.Process.Kill()
		<-exited
	}
}

// restartDelay is the short delay after which the platform starts a process again that has ended.
const restartDelay = 500 * time.Millisecond

// keepRunning starts a node's process again whenever it has ended, as the platform does, and counts the ends that
// nobody asked for.
func (s *site) keepRunning(n *node) {
	for {
		n.mutex.Lock()
		process, exited := n.process, n.exited
		n.mutex.Unlock()
		<-exited
		if !s.noteEnd(n, process) {
			return
		}
		time.Sleep(n.restartsAfter())
		if n.start() != nil {
			return
		}
		s.record.line("node %s starts again", n.name)
	}
}

// afterDisruption is the time after a disruption on a machine in which an end isn't counted as its own.
const afterDisruption = time.Second

// noteEnd records why a process ended. It returns false if the play ended it.
func (s *site) noteEnd(n *node, process *exec.Cmd) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	how := process.ProcessState.String()
	switch {
	case n.closing:
		return false
	case n.darkFor > 0:
		s.record.line("node %s has no power for %s: %s", n.name, n.darkFor, how)
	case time.Since(n.calmSince) < afterDisruption:
		s.record.line("node %s ended by itself, within %s of the return of power: %s", n.name, afterDisruption, how)
	default:
		n.ownEnds++
		s.record.line("node %s ended by itself: %s; its last line: %s", n.name, how, lastLine(n.logs.Name()))
	}
	return true
}

// lastLine returns the last line of a file.
func lastLine(path string) string {
	text, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[len(lines)-1]
}
