package simulation

import (
	"strconv"
	"time"
)

// savedWork returns the completed work that a checkpoint contains.
func savedWork(checkpoint string) time.Duration {
	millis, err := strconv.ParseInt(checkpoint, 10, 64)
	if err != nil {
		// An empty checkpoint contains no work.
		return 0
	}
	return time.Duration(millis) * time.Millisecond
}

// completedWork returns the completed work of a run, including the work in its checkpoint.
func (w *Worker) completedWork(r *run) time.Duration {
	done := savedWork(r.checkpoint)
	if r.working && !w.Stalled {
		done += time.Duration(float64(w.clock.Now().Sub(r.workingSince)) / w.slowdownFactor())
	}
	return min(done, w.cluster.Work(r.name))
}

// newCheckpoint returns the checkpoint that a stopped run saves. The checkpoint is empty if the
// step does not support checkpoints.
func (w *Worker) newCheckpoint(r *run) string {
	if !w.cluster.step(r.name).Checkpoints {
		return ""
	}
	return strconv.FormatInt(w.completedWork(r).Milliseconds(), 10)
}

// listedCheckpoint returns the checkpoint that a report lists for a run: the one of the last full
// checkpoint interval, or an empty one before it.
func (w *Worker) listedCheckpoint(r *run) string {
	interval := w.cluster.Bounds.CheckpointInterval
	saved := w.completedWork(r).Truncate(interval)
	if !w.cluster.ReportCheckpoints || !w.cluster.step(r.name).Checkpoints || saved == 0 {
		return ""
	}
	return strconv.FormatInt(saved.Milliseconds(), 10)
}
