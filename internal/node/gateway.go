package node

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wheatroad/wheatroad/internal/catalog"
	"github.com/wheatroad/wheatroad/internal/fault"
	"github.com/wheatroad/wheatroad/internal/rows"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// Gateway serves callers. The methods may be called from any goroutine. Their errors are faults of
// a kind that package fault lists.
type Gateway struct{ node *Node }

// NewGateway returns a gateway to a node.
func NewGateway(n *Node) *Gateway { return &Gateway{node: n} }

// Access is a queue and the tenant on whose behalf a caller uses the queue.
type Access struct {
	Queue  catalog.Queue
	Tenant string
	// ConfigurationVersion is the version of the configuration that led the request to the queue.
	ConfigurationVersion int64
}

// Ready reports whether the node should receive new connections.
func (g *Gateway) Ready() bool {
	n := g.node
	return !n.stopping.Load() && n.catalog.Load() != nil && age(n.confirmedAt.Load()) < n.options.MaxConfigurationAge
}

// Stopping reports whether the node is shutting down.
func (g *Gateway) Stopping() bool { return g.node.stopping.Load() }

// Resolve finds the queue for a host and path and checks the caller's key. It also returns the path
// without the queue's prefix.
func (g *Gateway) Resolve(host, path, key string) (Access, string, error) {
	n := g.node
	current := n.catalog.Load()
	confirmedAge := age(n.confirmedAt.Load())
	if current == nil || confirmedAge > n.options.MaxConfigurationAge {
		return Access{}, "", g.refuseBeforeReadingBody(host, path, confirmedAge, fault.New(fault.ConfigurationStale, "the configuration is missing or too old to authorize requests"))
	}
	queue := current.Match(host, path)
	if queue == nil {
		return Access{}, "", g.refuseBeforeReadingBody(host, path, confirmedAge, fault.New(fault.NotFound, "no queue matches this host and path"))
	}
	access := Access{Queue: *queue, ConfigurationVersion: current.Version}
	tenant, known := current.TenantOf(key)
	if !known && !queue.Public {
		return Access{}, "", g.refuseBeforeReadingBody(host, path, confirmedAge, fault.New(fault.Unauthenticated, "the API key is unknown and the queue is not public"))
	}
	access.Tenant = tenant
	return access, path[len(queue.PathPrefix):], nil
}

// maxLoggedPathBytes is how much of a refused request's path is logged.
const maxLoggedPathBytes = 200

// refuseBeforeReadingBody logs and counts the refusal of a request whose body was not read. The
// logged job identifier comes from the end of the path, as the body is not available.
func (g *Gateway) refuseBeforeReadingBody(host, path string, confirmedAge time.Duration, err *fault.Error) error {
	var version int64
	if current := g.node.catalog.Load(); current != nil {
		version = current.Version
	}
	g.node.dependencies.Recorder.LogEvent("request refused", "host", host, "path", path[:min(len(path), maxLoggedPathBytes)],
		"job", jobInPath(path), "reason", string(err.Kind), "configuration", version, "configuration_age_ms", confirmedAge.Milliseconds())
	return g.countRefusal(err)
}

// jobInPath returns the job identifier at the end of a path, or an empty string.
func jobInPath(path string) string {
	last := path[strings.LastIndexByte(path, '/')+1:]
	if taskgraph.ValidID(last) {
		return last
	}
	return ""
}

// countRefusal counts a refusal and returns the given error.
func (g *Gateway) countRefusal(err error) error {
	g.node.dependencies.Recorder.Count("refusals", string(fault.From(err).Kind))
	return err
}

// lessCertainFault returns the fault whose outcome is less certain: a if its outcome is unknown,
// else b.
func lessCertainFault(a, b error) error {
	if a != nil && fault.IsKind(a, fault.OutcomeUnknown) {
		return a
	}
	return b
}

func withTimeout(ctx context.Context, limit time.Duration, work func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return work(ctx)
}

// storeWriteFault converts an error of a store write into a fault.
func storeWriteFault(err error) error {
	if errors.Is(err, rows.ErrRejected) {
		return fault.New(fault.StoreRejected, "store rejected the request for its content; nothing was changed")
	}
	if errors.Is(err, rows.ErrNoEffect) {
		return fault.New(fault.StoreUnavailable, "store request failed; nothing was changed")
	}
	return fault.New(fault.OutcomeUnknown, "store outcome unknown; a write may have taken effect")
}
