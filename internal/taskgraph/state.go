package taskgraph

// State is the state of a job as reported to callers.
type State string

// The states of a job. The last three are final.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether a job in this state never changes its state again.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }
