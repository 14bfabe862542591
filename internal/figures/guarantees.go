package figures

import (
	"cmp"
	"slices"

	"github.com/wheatroad/wheatroad/internal/job"
	"github.com/wheatroad/wheatroad/internal/trace"
)

// guaranteeChecker checks, independently of the scheduler, whether guaranteed jobs start in time.
// A waiting job is within the guarantee of its tenant once its members fit into a free copy of a
// guaranteed shape, beside the jobs that already hold claims. From then on it may wait as long as
// the longest checkpoint.
type guaranteeChecker struct {
	copies               map[string][]*shapeCopy
	waiting              []*guaranteedJob
	byJob                map[string]*guaranteedJob
	maxCheckpointSeconds float64
	lateStarts           int
}

type shapeCopy struct {
	shape job.Shape
	free  int
}

type guaranteedJob struct {
	line *trace.Line
	// claimed is the copy that the job has claimed since claimedAt, or nil.
	claimed   *shapeCopy
	claimedAt float64
}

// timeTolerance allows for rounding of times, in seconds.
const timeTolerance = 1e-3

func newGuaranteeChecker(c *trace.Cluster) *guaranteeChecker {
	k := &guaranteeChecker{copies: map[string][]*shapeCopy{}, byJob: map[string]*guaranteedJob{}}
	for i := range c.Tenant {
		tenant := &c.Tenant[i]
		for _, guarantee := range tenant.Guarantees {
			for range guarantee.Count {
				k.copies[tenant.Name] = append(k.copies[tenant.Name], &shapeCopy{shape: guarantee.Shape, free: guarantee.Members})
			}
		}
	}
	return k
}

func (k *guaranteeChecker) submit(line *trace.Line) {
	if line.Checkpoint {
		k.maxCheckpointSeconds = max(k.maxCheckpointSeconds, line.CheckpointSeconds)
	}
	if !line.Guaranteed {
		return
	}
	waiting := &guaranteedJob{line: line}
	k.byJob[line.Job] = waiting
	k.enqueue(waiting)
}

// enqueue adds a job in the order in which claims are assigned: by priority, then by submission.
func (k *guaranteeChecker) enqueue(c *guaranteedJob) {
	index, _ := slices.BinarySearchFunc(k.waiting, c, func(a, b *guaranteedJob) int {
		return cmp.Or(cmp.Compare(b.line.Priority.Rank(), a.line.Priority.Rank()), cmp.Compare(a.line.At, b.line.At), cmp.Compare(a.line.Job, b.line.Job))
	})
	k.waiting = slices.Insert(k.waiting, index, c)
}

// bestCopy returns the copy with the least free capacity that still holds the job, or nil.
func (k *guaranteeChecker) bestCopy(c *guaranteedJob) *shapeCopy {
	var best *shapeCopy
	for _, one := range k.copies[c.line.Tenant] {
		if c.line.Members <= one.free && c.line.Accelerators <= one.shape.Accelerators && c.line.Spread.Width() >= one.shape.Spread.Width() &&
			(best == nil || one.free < best.free) {
			best = one
		}
	}
	return best
}

// assignClaims assigns claims to waiting jobs where capacity is free. A job keeps its claim even
// if others must be preempted before it starts.
func (k *guaranteeChecker) assignClaims(now float64) {
	for _, c := range k.waiting {
		k.assignClaim(c, now)
	}
}

func (k *guaranteeChecker) assignClaim(c *guaranteedJob, now float64) {
	if c.claimed != nil {
		return
	}
	c.claimed = k.bestCopy(c)
	if c.claimed != nil {
		c.claimed.free -= c.line.Members
		c.claimedAt = now
	}
}

// preempts assigns the claim of a job for which others are preempted: its claim was decided before
// those jobs wait again.
func (k *guaranteeChecker) preempts(id string, now float64) {
	if c, ok := k.byJob[id]; ok {
		k.assignClaim(c, now)
	}
}

func (k *guaranteeChecker) start(id string, now float64) {
	c, ok := k.byJob[id]
	if !ok {
		return
	}
	k.assignClaims(now)
	if c.claimed != nil && now > c.claimedAt+k.maxCheckpointSeconds+timeTolerance {
		k.lateStarts++
	}
	k.dequeue(c)
}

func (k *guaranteeChecker) dequeue(c *guaranteedJob) {
	for i := range k.waiting {
		if k.waiting[i] == c {
			k.waiting = append(k.waiting[:i], k.waiting[i+1:]...)
			return
		}
	}
}

// end releases the claim of a stopped or finished attempt.
func (k *guaranteeChecker) end(id string) {
	c, ok := k.byJob[id]
	if !ok {
		return
	}
	if c.claimed != nil {
		c.claimed.free += c.line.Members
		c.claimed = nil
	}
}

// requeue adds a stopped or preempted job to the waiting jobs.
func (k *guaranteeChecker) requeue(id string) {
	if c, ok := k.byJob[id]; ok {
		k.enqueue(c)
	}
}

// remove removes a job that will not run.
func (k *guaranteeChecker) remove(id string) {
	if c, ok := k.byJob[id]; ok {
		k.end(id)
		k.dequeue(c)
		delete(k.byJob, id)
	}
}
