package api

import (
	"slices"
	"sync"
	"time"
)

// unownedTTL is how long submissions try a domain last after a request found no owner there. It is
// shorter than a takeover, so that submissions soon reach the new owner.
const unownedTTL = time.Second

// unownedDomains caches which domains recently had no owner, so that requests avoid them.
type unownedDomains struct {
	mutex     sync.Mutex
	expiresAt map[string]time.Time
}

func newUnownedDomains() *unownedDomains {
	return &unownedDomains{expiresAt: map[string]time.Time{}}
}

func (u *unownedDomains) add(domain string, now time.Time) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.expiresAt[domain] = now.Add(unownedTTL)
}

// sortLast returns the domains with those that recently had no owner at the end. The order is
// otherwise unchanged.
func (u *unownedDomains) sortLast(domains []string, now time.Time) []string {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	ordered := slices.Clone(domains)
	slices.SortStableFunc(ordered, func(a, b string) int {
		return u.rank(a, now) - u.rank(b, now)
	})
	return ordered
}

func (u *unownedDomains) rank(domain string, now time.Time) int {
	if now.Before(u.expiresAt[domain]) {
		return 1
	}
	return 0
}
