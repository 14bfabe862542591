package emulator

import "time"

// target names what a node talks to: a service, the workers of a zone, or a node.
type target string

const (
	targetTable    target = "table"
	targetMachines target = "machines"
)

func workersIn(zone string) target { return target("workers:" + zone) }

func nodeTarget(node string) target { return target("node:" + node) }

// cut says which direction of a link is broken.
type cut int

const (
	cutNone cut = iota
	// cutBoth lets nothing through.
	cutBoth
	// cutAnswers lets requests through and loses their answers.
	cutAnswers
)

type link struct {
	node   string
	target target
}

// network holds the broken links and the latencies.
type network struct {
	cuts map[link]cut
}

func newNetwork() *network { return &network{cuts: map[link]cut{}} }

func (n *network) of(node string, to target) cut { return n.cuts[link{node, to}] }

// Latencies of the platform and between nodes, one way.
const (
	tableLatency  = 4 * time.Millisecond
	workerLatency = time.Millisecond
	nodeLatency   = time.Millisecond
	// callTimeout is when a caller of any of these gives up.
	callTimeout = 5 * time.Second
)
