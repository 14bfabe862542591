package api

import (
	"context"
	"time"

	"github.com/wheatroad/wheatroad/internal/blackboard"
	"github.com/wheatroad/wheatroad/internal/job"
	"github.com/wheatroad/wheatroad/internal/planning"
	"github.com/wheatroad/wheatroad/internal/schedule"
)

// Backend executes the requests that the server receives. Errors are of type *fault.Error.
type Backend interface {
	View() *blackboard.View
	// Submit submits a job to the owner of a domain, on any node.
	Submit(ctx context.Context, domain string, spec job.Spec) (*job.Record, error)
	// Lookup returns a job's record. With wait, it returns when the job ends or wait expires.
	Lookup(ctx context.Context, domain string, key job.Key, wait time.Duration) (*job.Record, error)
	Cancel(ctx context.Context, domain string, key job.Key) (*job.Record, error)
	List(ctx context.Context, domain, tenant string) ([]*job.Record, error)
	Explain(ctx context.Context, domain string, key job.Key) (schedule.Explanation, error)
	// FindDomain returns the domain that accepted a job.
	FindDomain(ctx context.Context, key job.Key) (string, error)
	// Output returns one member's output from the object store, unverified.
	Output(ctx context.Context, record *job.Record, member int) ([]byte, error)
	SavePlan(ctx context.Context, plan *planning.Plan) error
	LoadPlan(ctx context.Context, digest string) (*planning.Plan, error)
	// Impact returns the effects of a plan on a domain's jobs.
	Impact(ctx context.Context, domain string, plan *planning.Plan) ([]planning.Effect, error)
	// Confirm applies a plan and returns the new version.
	Confirm(ctx context.Context, plan *planning.Plan) (int64, error)
}

// Counter counts requests by reason.
type Counter interface {
	Count(counter, reason string)
}
