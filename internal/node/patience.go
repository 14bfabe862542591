package node

import (
	"context"
	"time"

	"github.com/wheatroad/wheatroad/internal/fault"
	"github.com/wheatroad/wheatroad/internal/mechanism"
)

// A submission that finds the store away may wait for its return for a short time
// instead of being refused: callers come back only after a second or so, and a few
// times. It is not held for longer, so that a refusal leaves them time for that.
const (
	// acceptancePatience is less than a quarter of the 3 s that callers give a
	// submission on the platform's sites.
	acceptancePatience = 700 * time.Millisecond
	// answerReserve is left of a caller's deadline for the write itself.
	answerReserve = 400 * time.Millisecond
	// patiencePeriod is the pause between two looks whether the store is back.
	patiencePeriod = 20 * time.Millisecond
)

// ResolveSubmission is Resolve for a submission: it waits for a short time while the
// configuration is not known to be the newest.
func (g *Gateway) ResolveSubmission(ctx context.Context, host, path, key string) (Access, string, error) {
	waitUntil := time.Now().Add(acceptancePatience)
	if g.node.options.Off[mechanism.Patience] {
		waitUntil = time.Now()
	}
	if deadline, any := ctx.Deadline(); any && deadline.Add(-answerReserve).Before(waitUntil) {
		waitUntil = deadline.Add(-answerReserve)
	}
	g.await(ctx, waitUntil, g.configurationKnown)
	access, rest, err := g.Resolve(host, path, key)
	access.waitUntil = waitUntil
	return access, rest, err
}

// configurationKnown reports whether the configuration in force is surely the newest.
func (g *Gateway) configurationKnown() bool {
	return g.node.catalog.Load() != nil && age(g.node.confirmed.Load()) <= g.node.options.ConfigurationAge
}

// submitPatiently tries a write, and once more if the store comes back in time.
func (g *Gateway) submitPatiently(ctx context.Context, waitUntil time.Time, write func(context.Context) error) error {
	for {
		err := limited(ctx, submitTimeout, write)
		if !fault.IsKind(err, fault.StoreUnavailable) || !time.Now().Before(waitUntil) {
			return err
		}
		if !pause(ctx) || !g.await(ctx, waitUntil, g.node.storeReachable) {
			return err
		}
	}
}

// pause waits for a moment, and reports whether the caller is still there.
func pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(patiencePeriod):
		return true
	}
}

// await waits until a condition holds, and reports whether it does. It gives up at a
// time and when the caller leaves.
func (g *Gateway) await(ctx context.Context, until time.Time, holds func() bool) bool {
	for !holds() {
		if !time.Now().Before(until) || !pause(ctx) {
			return false
		}
	}
	return true
}
