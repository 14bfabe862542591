package api

import (
	"sync"
	"time"

	"github.com/wheatroad/wheatroad/internal/fault"
)

// limiter limits concurrent requests, in total and per tenant, and each tenant's rate of
// submissions, so that one tenant's burst does not affect the others.
type limiter struct {
	options *Options
	now     func() time.Time
	mutex   sync.Mutex
	total   int
	tenants map[string]*tenantLoad
}

// tenantLoad holds one tenant's concurrent requests and token bucket on this node.
type tenantLoad struct {
	inFlight   int
	tokens     float64
	refilledAt time.Time
}

func newLimiter(options *Options, now func() time.Time) *limiter {
	return &limiter{options: options, now: now, tenants: map[string]*tenantLoad{}}
}

func (l *limiter) loadFor(tenant string) *tenantLoad {
	load, ok := l.tenants[tenant]
	if !ok {
		load = &tenantLoad{tokens: float64(l.options.SubmitBurst), refilledAt: l.now()}
		l.tenants[tenant] = load
	}
	return load
}

// acquire reserves a slot for a request. The returned function releases it.
func (l *limiter) acquire(tenant string) (release func(), err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	load := l.loadFor(tenant)
	if load.inFlight >= l.options.InFlightPerTenant {
		return nil, fault.New(fault.TenantLimit, "the tenant has %d requests in flight on this node; retry later", load.inFlight)
	}
	if l.total >= l.options.InFlight {
		return nil, fault.New(fault.Overloaded, "the node has %d requests in flight; retry later", l.total)
	}
	load.inFlight++
	l.total++
	return func() {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		load.inFlight--
		l.total--
	}, nil
}

// allowSubmit takes one token from the tenant's bucket.
func (l *limiter) allowSubmit(tenant string) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	load := l.loadFor(tenant)
	now := l.now()
	load.tokens += now.Sub(load.refilledAt).Seconds() * l.options.SubmitsPerSecond
	load.tokens = min(load.tokens, float64(l.options.SubmitBurst))
	load.refilledAt = now
	if load.tokens < 1 {
		return fault.New(fault.TenantLimit, "the tenant exceeds %g submissions per second on this node; retry later", l.options.SubmitsPerSecond)
	}
	load.tokens--
	return nil
}
