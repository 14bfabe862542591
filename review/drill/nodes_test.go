//go:build review

package drill

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

var zones = []string{"sohar-hall", "barka-hall", "seeb-hall"}

// bounds are the figures of the small deployment Sahil, as SYSTEM.md states them.
var bounds = map[string]string{
	"max_hold_ms": "10000", "stop_timeout_ms": "900", "gang_timeout_ms": "3000", "reclaim_ms": "3400",
	"checkpoint_interval_s": "1", "status_s": "120", "remote_factor": "3", "config_apply_ms": "2000", "grace_period_s": "6",
}

// node is one process of the system.
type node struct {
	name, callers, readiness string
	settings, log            string
	command                  *exec.Cmd
	exited                   chan struct{}
}

// program is how the deploy file runs a node.
const (
	program      = "target/wheatroadd"
	templatePath = "deploy/node.toml"
)

// newNode lays out the settings of a node in a folder.
func newNode(folder string, number int, storeAddress string) (*node, error) {
	template, err := os.ReadFile(templatePath)
	if err != nil {
		return nil, err
	}
	ports, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	n := &node{name: fmt.Sprintf("frontend-%d", number), callers: ports[0], readiness: ports[1]}
	n.settings = filepath.Join(folder, n.name+".toml")
	n.log = filepath.Join(folder, n.name+".log")
	text := n.fill(string(template), storeAddress, ports[2], ports[3])
	return n, os.WriteFile(n.settings, []byte(text), 0o644)
}

// fill fills the template as the platform does. All nodes share one machine, so each has ports of
// its own, also for its metrics.
func (n *node) fill(template, storeAddress, peers, metrics string) string {
	zoneLines := ""
	for _, zone := range zones {
		zoneLines += fmt.Sprintf("%q = \"batinah\"\n", zone)
	}
	gaps := []string{
		"{{#zones}}\n\"{{@}}\" = \"{{.}}\"\n{{/zones}}\n", zoneLines,
		"{{#bounds.reclaim_ms}}\n", "", "{{/bounds.reclaim_ms}}\n", "",
		"{{#bounds.evacuation_ms}}\nevacuation_ms = {{bounds.evacuation_ms}}\n{{/bounds.evacuation_ms}}\n", "",
		"{{ip_address}}:{{internal_ports.0}}", peers, "{{ip_address}}:9464", metrics,
		"{{node_name}}", n.name, "{{zone}}", zones[0], "{{region}}", "batinah",
		"{{listen_addresses.frontend}}", n.callers, "{{listen_addresses.readiness}}", n.readiness,
		"{{platform.address}}", storeAddress, "{{limits.memory_mb}}", "284", "{{limits.link_mbps}}", "1000.0", "{{limits.cpu_share}}", "0.4",
	}
	for name, value := range bounds {
		gaps = append(gaps, "{{bounds."+name+"}}", value)
	}
	return strings.NewReplacer(gaps...).Replace(template)
}

// freePorts returns unused loopback addresses.
func freePorts(count int) ([]string, error) {
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// start starts the process with the command of the deploy file.
func (n *node) start() error {
	output, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer output.Close()
	n.command = exec.Command(program, "serve")
	n.command.Env = []string{"WHEATROAD_CONFIG=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8"}
	n.command.Stdout, n.command.Stderr = output, output
	if err := n.command.Start(); err != nil {
		return err
	}
	n.exited = make(chan struct{})
	go func() {
		_ = n.command.Wait()
		close(n.exited)
	}()
	return nil
}

func (n *node) running() bool {
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

func (n *node) kill() {
	if n.command == nil || n.command.Process == nil {
		return
	}
	_ = n.command.Process.Kill()
	<-n.exited
}

// system is the processes of a case.
type system struct {
	folder string
	nodes  []*node
}

func startSystem(count int, storeAddress string) (*system, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &system{folder: folder}
	for number := range count {
		n, err := newNode(folder, number+1, storeAddress)
		if err == nil {
			err = n.start()
		}
		if err != nil {
			s.end()
			return nil, err
		}
		s.nodes = append(s.nodes, n)
	}
	return s, nil
}

// end kills all processes and removes their folder. KEEP_LOGS=1 keeps it.
func (s *system) end() {
	for _, n := range s.nodes {
		n.kill()
	}
	if os.Getenv("KEEP_LOGS") != "1" {
		_ = os.RemoveAll(s.folder)
	}
}

// waitReady waits until every node calls itself ready.
func (s *system) waitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, n := range s.nodes {
		for !probe(n.readiness) {
			if time.Now().After(deadline) || !n.running() {
				return errors.New("node " + n.name + " does not become ready")
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}
