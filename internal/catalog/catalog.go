// Package catalog holds the confirmed configuration: queues, the pools that run them, and tenants
// with their keys and guarantees.
package catalog

import (
	"strings"
	"time"

	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// Queue accepts jobs and runs them in one pool.
type Queue struct {
	Name string `json:"name"`
	// Host and PathPrefix determine which requests go to the queue.
	Host       string `json:"host"`
	PathPrefix string `json:"path_prefix"`
	Pool       string `json:"pool"`
	// Priority 0 is the highest. Jobs of priority 0 may always preempt jobs of lower priority.
	Priority    int     `json:"priority"`
	MaxAttempts int     `json:"max_attempts"`
	Stretch     float64 `json:"stretch"`
	// TargetMillis and Stretch determine the target duration of a job: Stretch times the duration
	// of the job's critical path, plus TargetMillis.
	TargetMillis int64 `json:"target_ms"`
	// Public queues accept requests without a key.
	Public bool `json:"public"`
}

// Limits of the fields of a queue. They are far beyond those of any configuration, and low enough that
// sums with durations do not overflow.
const (
	maxPriority     = 1 << 20
	maxAttempts     = 1 << 30
	maxStretch      = 1e6
	maxTargetMillis = 1 << 40
)

// Clamped returns the queue with each number limited to its valid range. A stored row may hold a queue
// that no configuration has.
func (q Queue) Clamped() Queue {
	q.Priority = max(0, min(maxPriority, q.Priority))
	q.MaxAttempts = max(1, min(maxAttempts, q.MaxAttempts))
	q.Stretch = max(0, min(maxStretch, q.Stretch))
	q.TargetMillis = max(0, min(maxTargetMillis, q.TargetMillis))
	return q
}

// Objective returns the target duration of a job, counted from the submission of the job. The
// argument is the duration of the job's critical path.
func (q *Queue) Objective(criticalPath time.Duration) time.Duration {
	stretched := time.Duration(min(q.Stretch*float64(criticalPath), maxObjective))
	return stretched + time.Duration(q.TargetMillis)*time.Millisecond
}

// maxObjective limits the first term of the objective, in nanoseconds, so that sums with it do not
// overflow.
const maxObjective = float64(1 << 61)

// Pool is a group of workers.
type Pool struct {
	Name string `json:"name"`
	// EnforcesCapacity is true if the workers reject tasks that exceed their free resources.
	EnforcesCapacity bool `json:"enforces_capacity"`
	// Standby pools hold machines that are powered off.
	Standby bool `json:"spare"`
}

// Tenant is a customer with keys and a guarantee.
type Tenant struct {
	Name       string              `json:"name"`
	Keys       []string            `json:"keys"`
	Guaranteed taskgraph.Resources `json:"guaranteed"`
}

// Limits restrict the size of requests.
type Limits struct {
	MaxHeaderBytes int `json:"max_header_bytes"`
	MaxBodyBytes   int `json:"max_body_bytes"`
}

// Catalog is one version of the configuration. It is immutable after Index.
type Catalog struct {
	Version int64    `json:"version"`
	Queues  []Queue  `json:"queues"`
	Pools   []Pool   `json:"pools"`
	Tenants []Tenant `json:"tenants"`
	Limits  Limits   `json:"limits"`

	tenantByKey  map[string]string
	queuesByHost map[string][]*Queue
}

// Index builds the look-up tables. It must be called once before any other method.
func (c *Catalog) Index() {
	c.tenantByKey = map[string]string{}
	for i := range c.Tenants {
		for _, key := range c.Tenants[i].Keys {
			c.tenantByKey[key] = c.Tenants[i].Name
		}
	}
	c.queuesByHost = map[string][]*Queue{}
	for i := range c.Queues {
		queue := &c.Queues[i]
		c.queuesByHost[queue.Host] = append(c.queuesByHost[queue.Host], queue)
	}
}

// Match returns the queue of the host whose PathPrefix is the longest prefix of path. It returns
// nil if no queue matches.
func (c *Catalog) Match(host, path string) *Queue {
	var best *Queue
	for _, queue := range c.queuesByHost[host] {
		if strings.HasPrefix(path, queue.PathPrefix) && (best == nil || len(queue.PathPrefix) > len(best.PathPrefix)) {
			best = queue
		}
	}
	return best
}

// TenantOf returns the name of the tenant that owns a key. It returns false for an unknown key.
func (c *Catalog) TenantOf(key string) (string, bool) {
	tenant, ok := c.tenantByKey[key]
	return tenant, ok
}

// Queue returns the queue with the given name. It returns nil if there is none.
func (c *Catalog) Queue(name string) *Queue {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i]
		}
	}
	return nil
}

// Guarantee returns the guaranteed resources of the tenant with the given name.
func (c *Catalog) Guarantee(tenant string) taskgraph.Resources {
	for i := range c.Tenants {
		if c.Tenants[i].Name == tenant {
			return c.Tenants[i].Guaranteed
		}
	}
	return taskgraph.Resources{}
}

// PoolNames returns the names of the pools that are not Standby, in the order of Pools.
func (c *Catalog) PoolNames() []string {
	names := make([]string, 0, len(c.Pools))
	for i := range c.Pools {
		if !c.Pools[i].Standby {
			names = append(names, c.Pools[i].Name)
		}
	}
	return names
}
