package simulation

import (
	"strconv"
	"time"
)

// saved is the work that a checkpoint holds. Checkpoints tell it in milliseconds.
func saved(checkpoint string) time.Duration {
	millis, err := strconv.ParseInt(checkpoint, 10, 64)
	if err != nil {
		// The empty checkpoint holds nothing.
		return 0
	}
	return time.Duration(millis) * time.Millisecond
}

// worked is how much of a run's work is done, that of earlier runs which its checkpoint holds
// included.
func (w *Worker) worked(r *run) time.Duration {
	done := saved(r.checkpoint)
	if r.working && !w.Standing {
		done += time.Duration(float64(w.clock.Now().Sub(r.workingSince)) / w.slowness())
	}
	return min(done, w.world.Work(r.name))
}

// newCheckpoint is what a stop of a run saves: all its work if its step checkpoints, else nothing.
func (w *Worker) newCheckpoint(r *run) string {
	if !w.world.step(r.name).Checkpoints {
		return ""
	}
	return strconv.FormatInt(w.worked(r).Milliseconds(), 10)
}
