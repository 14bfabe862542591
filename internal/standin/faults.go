package standin

import (
	"math/rand/v2"
	"time"
)

// Mode is how a service of the platform behaves.
type Mode string

// The modes.
const (
	// Healthy services answer.
	Healthy Mode = "ok"
	// Slow services answer after Delay.
	Slow Mode = "slow"
	// Down services refuse at once.
	Down Mode = "down"
	// Lossy services take effect and lose some answers.
	Lossy Mode = "lossy"
	// Late services lose some answers and take effect after Delay.
	Late Mode = "late"
	// Frozen services take requests and never answer.
	Frozen Mode = "frozen"
)

// Fault is the present behaviour of one service.
type Fault struct {
	Mode Mode `json:"mode"`
	// DelaySeconds is the delay of Slow and Late.
	DelaySeconds float64 `json:"delay_seconds,omitempty"`
	// Share is the share of requests that Lossy and Late hit, 0 to 1.
	Share float64 `json:"share,omitempty"`
}

// Verdict is what happens to one request.
type Verdict struct {
	// Refused requests have no effect and are answered so.
	Refused bool
	// AnswerLost requests get no answer.
	AnswerLost bool
	// NoEffect says that the request never takes effect.
	NoEffect bool
	// Delay passes before the effect.
	Delay time.Duration
}

// Judge decides what happens to one request.
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
