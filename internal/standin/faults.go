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
	// Lossy services apply requests but lose some answers.
	Lossy Mode = "lossy"
	// Late services lose some answers and apply those requests after Delay.
	Late Mode = "late"
	// Frozen services accept requests, never apply them and never answer.
	Frozen Mode = "frozen"
)

// Fault is the current failure mode of a service.
type Fault struct {
	Mode Mode `json:"mode"`
	// DelaySeconds is the delay of Slow and Late.
	DelaySeconds float64 `json:"delay_seconds,omitempty"`
	// Share is the share of requests that Lossy and Late affect, 0 to 1.
	Share float64 `json:"share,omitempty"`
}

// Verdict is the outcome of one request.
type Verdict struct {
	// Refused requests are answered with an error and have no effect.
	Refused bool
	// AnswerLost requests get no answer.
	AnswerLost bool
	// NoEffect requests are never applied.
	NoEffect bool
	// Delay is the time until the request is applied.
	Delay time.Duration
}

// Judge returns the outcome of one request.
func (f Fault) Judge(random *rand.Rand) Verdict {
	delay := seconds(f.DelaySeconds)
	switch f.Mode {
	case Slow:
		return Verdict{Delay: delay}
	case Down:
		return Verdict{Refused: true, NoEffect: true}
	case Frozen:
		return Verdict{AnswerLost: true, NoEffect: true}
	case Lossy:
		return Verdict{AnswerLost: random.Float64() < f.Share}
	case Late:
		if random.Float64() < f.Share {
			return Verdict{AnswerLost: true, Delay: delay}
		}
	}
	return Verdict{}
}
