//go:build review

package fakeplatform

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// daemonPath is where the build line of the deploy file places the program.
const daemonPath = "target/wheatroadd"

// node is one process of the system.
type node struct {
	name, callers, readiness, peers, metrics string
	settings                                 string
	log                                      *os.File
	command                                  *exec.Cmd
}

// nodeNetwork is a part of the loopback range that no other process is likely to use, so that a port
// which was free when it was chosen still is when a node listens there.
var nodeNetwork = fmt.Sprintf("127.%d.%d", 1+rand.IntN(254), rand.IntN(256))

func freeAddress(number int) (string, error) {
	listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", nodeNetwork, number+1))
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// settingsText is deploy/node.toml, filled in with the bounds of sahil-wheatroad.
const settingsText = `name = %q
zone = %q
region = "batinah"
callers = %q
readiness = %q
peers = %q
metrics = %q
store = %q
memory_mb = 284
link_mbps = 1000.0
cpu_share = 0.4

[bounds]
max_hold_ms = 10000
stop_timeout_ms = 900
gang_timeout_ms = 3000
reclaim_ms = 3400
checkpoint_interval_s = 1
status_s = 120
remote_factor = 3
config_apply_ms = 2000
grace_period_s = 6

[policies]
tenant_sharing = "auto"

[zones]
"sohar-hall" = "batinah"
"barka-hall" = "batinah"
"seeb-hall" = "batinah"
`

var zoneNames = []string{"sohar-hall", "barka-hall", "seeb-hall"}

func newNode(number int, folder, storeAddress string) (*node, error) {
	zone := zoneNames[number%len(zoneNames)]
	n := &node{name: fmt.Sprintf("frontend-%s-%d", zone, 1+number/len(zoneNames))}
	for _, address := range []*string{&n.callers, &n.readiness, &n.peers, &n.metrics} {
		chosen, err := freeAddress(number)
		if err != nil {
			return nil, err
		}
		*address = chosen
	}
	n.settings = filepath.Join(folder, n.name+".toml")
	text := fmt.Sprintf(settingsText, n.name, zone, n.callers, n.readiness, n.peers, n.metrics, storeAddress)
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(folder, n.name+".log"))
	n.log = log
	return n, err
}

func (n *node) start() error {
	n.command = exec.Command(daemonPath, "serve")
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "WHEATROAD_CONFIG=" + n.settings}
	n.command.Stdout, n.command.Stderr = n.log, n.log
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return n.command.Start()
}

func (n *node) close() {
	if n.command != nil && n.command.Process != nil {
		_ = n.command.Process.Kill()
		_ = n.command.Wait()
	}
	_ = n.log.Close()
}

func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.readiness + "/-/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// call sends a client's call and returns the status, or 0 if there was no answer.
func (n *node) call(method, host, path, key, body string, deadline time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.callers+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = host
	request.Header.Set("Api-Key", key)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Wheatroad-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, 1<<16))
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(text)
}
