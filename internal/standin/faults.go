package standin

import (
	"math/rand/v2"
	"time"
)

// Mode is the failure mode of a service.
type Mode string

const (
	// Healthy services answer normally.
	Healthy Mode = "ok"
	// Slow services answer after Delay.
	Slow Mode = "slow"
	// Down services reject all requests.
	Down Mode = "down"
	// Lossy services apply requests but lose some responses.
	Lossy Mode = "lossy"
	// Late services lose some responses and apply those requests after Delay.
	Late Mode = "late"
	// Unresponsive services accept requests, never apply them and never answer.
	Unresponsive Mode = "frozen"
)

// Fault is the current failure mode of a service.
type Fault struct {
	Mode Mode `json:"mode"`
	// DelaySeconds is the delay of Slow and Late.
	DelaySeconds float64 `json:"delay_seconds,omitempty"`
	// Share is the share of requests that Lossy and Late affect, 0 to 1.
	Share float64 `json:"share,omitempty"`
}

// RequestOutcome is the outcome of one request.
type RequestOutcome struct {
	// Rejected requests are answered with an error and have no effect.
	Rejected bool
	// AnswerLost requests get no response.
	AnswerLost bool
	// NoEffect requests are never applied.
	NoEffect bool
	// Delay is the time until the request is applied.
	Delay time.Duration
}

// Apply returns the outcome of one request.
func (f Fault) Apply(random *rand.Rand) RequestOutcome {
	delay := seconds(f.DelaySeconds)
	switch f.Mode {
	case Slow:
		return RequestOutcome{Delay: delay}
	case Down:
		return RequestOutcome{Rejected: true, NoEffect: true}
	case Unresponsive:
		return RequestOutcome{AnswerLost: true, NoEffect: true}
	case Lossy:
		return RequestOutcome{AnswerLost: random.Float64() < f.Share}
	case Late:
		if random.Float64() < f.Share {
			return RequestOutcome{AnswerLost: true, Delay: delay}
		}
	}
	return RequestOutcome{}
}
