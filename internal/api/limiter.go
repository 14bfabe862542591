package api

import (
	"sync"
	"time"

	"github.com/wheatroad/wheatroad/internal/fault"
)

// limiter bounds the requests under way, in all and by tenant, and the rate of
// submissions by tenant. One tenant's burst is refused without costing the others.
type limiter struct {
	options *Options
	now     func() time.Time
	mutex   sync.Mutex
	total   int
	tenants map[string]*tenantLoad
}

// tenantLoad is one tenant's share on this node.
type tenantLoad struct {
	inFlight   int
	tokens     float64
	refilledAt time.Time
}

func newLimiter(options *Options, now func() time.Time) *limiter {
	return &limiter{options: options, now: now, tenants: map[string]*tenantLoad{}}
}

func (l *limiter) tenantLoad(tenant string) *tenantLoad {
	load, ok := l.tenants[tenant]
	if !ok {
		load = &tenantLoad{tokens: float64(l.options.SubmitBurst), refilledAt: l.now()}
		l.tenants[tenant] = load
	}
	return load
}

// acquire takes a place for a request. The returned function gives it back.
func (l *limiter) acquire(tenant string) (release func(), err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	load := l.tenantLoad(tenant)
	if load.inFlight >= l.options.InFlightPerTenant {
		return nil, fault.New(fault.TenantLimit, "the tenant has %d requests under way here", load.inFlight)
	}
	if l.total >= l.options.InFlight {
		return nil, fault.New(fault.Overloaded, "the node has %d requests under way", l.total)
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

// allowSubmit takes one submission from the tenant's allowance.
func (l *limiter) allowSubmit(tenant string) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	load := l.tenantLoad(tenant)
	now := l.now()
	load.tokens += now.Sub(load.refilledAt).Seconds() * l.options.SubmitsPerSecond
	load.tokens = min(load.tokens, float64(l.options.SubmitBurst))
	load.refilledAt = now
	if load.tokens < 1 {
		return fault.New(fault.TenantLimit, "the tenant submits more than %g jobs a second here", l.options.SubmitsPerSecond)
	}
	load.tokens--
	return nil
}
