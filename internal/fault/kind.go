package fault

import "time"

// Kind is the reason why a request was rejected or a job did not succeed. Every kind has an
// entry in the response table.
type Kind string

// Error kinds, in the order in which a request can encounter them.
const (
	InvalidRequest     Kind = "invalid_request"
	TooLarge           Kind = "too_large"
	Unauthenticated    Kind = "unauthenticated"
	Forbidden          Kind = "forbidden"
	NotFound           Kind = "not_found"
	UnknownJob         Kind = "unknown_job"
	DuplicateID        Kind = "duplicate_id"
	Unsatisfiable      Kind = "never_fits"
	TenantLimit        Kind = "tenant_limit"
	Overloaded         Kind = "overloaded"
	StoreUnavailable   Kind = "store_unavailable"
	StoreRejected      Kind = "store_rejected"
	NoOwner            Kind = "no_owner"
	ConfigurationStale Kind = "configuration_old"
	PlanStale          Kind = "plan_stale"
	PlanInfeasible     Kind = "plan_no_witness"
	DeadlineExceeded   Kind = "deadline_exceeded"
	Cancelled          Kind = "cancelled"
	AttemptLost        Kind = "attempt_lost"
	TaskFailed         Kind = "task_failed"
	OutcomeUnknown     Kind = "outcome_unknown"
	ResultUnavailable  Kind = "result_unavailable"
	Internal           Kind = "internal"
)

// Outcome states whether the requested work ran.
type Outcome string

// Outcomes of a request.
const (
	NotRun     Outcome = "not_run"
	MayHaveRun Outcome = "may_have_run"
	Ran        Outcome = "ran"
)

// Response is the response to a caller for an error kind.
type Response struct {
	// Status is the HTTP status code.
	Status int
	// Outcome is the default; an error can override it.
	Outcome Outcome
	// RetryAfter is the delay before a retry; zero means that the caller should not retry.
	RetryAfter time.Duration
}

const (
	shortRetryDelay = time.Second
	longRetryDelay  = 5 * time.Second
)

var answersByKind = map[Kind]Response{
	InvalidRequest:     {Status: 400, Outcome: NotRun},
	TooLarge:           {Status: 413, Outcome: NotRun},
	Unauthenticated:    {Status: 401, Outcome: NotRun},
	Forbidden:          {Status: 403, Outcome: NotRun},
	NotFound:           {Status: 404, Outcome: NotRun},
	UnknownJob:         {Status: 410, Outcome: NotRun},
	DuplicateID:        {Status: 409, Outcome: NotRun},
	Unsatisfiable:      {Status: 422, Outcome: NotRun},
	TenantLimit:        {Status: 429, Outcome: NotRun, RetryAfter: longRetryDelay},
	Overloaded:         {Status: 503, Outcome: NotRun, RetryAfter: longRetryDelay},
	StoreRejected:      {Status: 422, Outcome: NotRun},
	StoreUnavailable:   {Status: 503, Outcome: NotRun, RetryAfter: longRetryDelay},
	NoOwner:            {Status: 503, Outcome: NotRun, RetryAfter: shortRetryDelay},
	ConfigurationStale: {Status: 503, Outcome: NotRun, RetryAfter: shortRetryDelay},
	PlanStale:          {Status: 409, Outcome: NotRun},
	PlanInfeasible:     {Status: 422, Outcome: NotRun},
	DeadlineExceeded:   {Status: 504, Outcome: MayHaveRun, RetryAfter: shortRetryDelay},
	Cancelled:          {Status: 409, Outcome: NotRun},
	AttemptLost:        {Status: 500, Outcome: MayHaveRun},
	TaskFailed:         {Status: 500, Outcome: Ran},
	OutcomeUnknown:     {Status: 502, Outcome: MayHaveRun, RetryAfter: longRetryDelay},
	ResultUnavailable:  {Status: 503, Outcome: Ran, RetryAfter: longRetryDelay},
	Internal:           {Status: 500, Outcome: MayHaveRun},
}

// ResponseFor returns the response for kind. Unknown kinds are answered as Internal.
func ResponseFor(kind Kind) Response {
	if answer, ok := answersByKind[kind]; ok {
		return answer
	}
	return answersByKind[Internal]
}

// Kinds returns all kinds, in no particular order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(answersByKind))
	for kind := range answersByKind {
		kinds = append(kinds, kind)
	}
	return kinds
}
