package figures

import (
	"cmp"
	"slices"

	"github.com/wheatroad/wheatroad/internal/job"
	"github.com/wheatroad/wheatroad/internal/trace"
)

// guaranteeChecker judges, apart from the scheduler, whether guaranteed jobs started in
// time. A waiting job is within its tenant's guarantee from when its members fit
// into one free copy of a guaranteed shape, beside the jobs that hold guaranteeChecker
// already. From then on it may wait as long as the longest checkpoint.
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
	// claimed is the copy that the job claims, since the time within.
	claimed   *shapeCopy
	claimedAt float64
}

// timeTolerance absorbs rounding of times, in seconds.
const timeTolerance = 1e-3

func newGuaranteeChecker(c *trace.Cluster) *guaranteeChecker {
	k := &guaranteeChecker{copies: map[string][]*shapeCopy{}, byJob: map[string]*guaranteedJob{}}
	for i := range c.Tenant {
		tenant := &c.Tenant[i]
		for _, guarantee := range tenant.Guarantee {
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

// enqueue enters a job in the order in which a tenant's claims are served: by priority,
// then by submission.
func (k *guaranteeChecker) enqueue(c *guaranteedJob) {
	index, _ := slices.BinarySearchFunc(k.waiting, c, func(a, b *guaranteedJob) int {
		return cmp.Or(cmp.Compare(b.line.Priority.Rank(), a.line.Priority.Rank()), cmp.Compare(a.line.At, b.line.At), cmp.Compare(a.line.Job, b.line.Job))
	})
	k.waiting = slices.Insert(k.waiting, index, c)
}

// bestCopy returns the copy that is claimed most among those that still cover the
// job, or nil.
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

// assignClaims gives waiting jobs the claims that there is room for. A job holds its claim
// from then on, though others may have to leave before it starts.
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

// preempts notes that others give way to a job: its claim was decided before they
// came to wait themselves.
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

// end gives the claim of a stopped or finished attempt back.
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

// requeue lets a job that was stopped or pushed out wait once more.
func (k *guaranteeChecker) requeue(id string) {
	if c, ok := k.byJob[id]; ok {
		k.enqueue(c)
	}
}

// remove drops a job that will not run.
func (k *guaranteeChecker) remove(id string) {
	if c, ok := k.byJob[id]; ok {
		k.end(id)
		k.dequeue(c)
		delete(k.byJob, id)
	}
}
