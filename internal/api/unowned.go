package api

import (
	"slices"
	"sync"
	"time"
)

// unownedTTL is how long a domain that was found without an owner is tried last.
// It is shorter than a takeover, so that a new owner is found soon.
const unownedTTL = time.Second

// unownedDomains remembers which domains had no owner a moment ago, so that not
// every request finds out by itself.
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

// sortLast returns the domains with those that had no owner lately at the end. Others
// keep their order.
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
