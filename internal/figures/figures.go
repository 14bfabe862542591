package figures

import (
	"cmp"
	"math"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wheatroad/wheatroad/internal/job"
	"github.com/wheatroad/wheatroad/internal/trace"
)

// Figures are the metrics of one replay. Times are in seconds.
type Figures struct {
	Policy               string  `json:"policy,omitempty"`
	Jobs                 int     `json:"jobs"`
	CompletionMean       float64 `json:"completion_mean"`
	CompletionP50        float64 `json:"completion_p50"`
	CompletionP95        float64 `json:"completion_p95"`
	CompletionP99        float64 `json:"completion_p99"`
	WaitMean             float64 `json:"wait_mean"`
	UrgentStartP99       float64 `json:"urgent_start_p99"`
	Fragmentation        float64 `json:"fragmentation"`
	Utilization          float64 `json:"utilization"`
	LateGuaranteedStarts int     `json:"guarantee_late"`
	Preemptions          int     `json:"preemptions"`
	LostWorkSeconds      float64 `json:"lost_work_seconds"`
	Unfinished           int     `json:"unfinished"`
	Refused              int     `json:"refused"`
	PartialGangs         int     `json:"partial_gangs"`
	OverCommits          int     `json:"over_commits"`
	Decisions            int64   `json:"decisions,omitempty"`
	DecisionSeconds      float64 `json:"decision_seconds,omitempty"`
}

// Sample is the state of the cluster from a time until the next sample, for plots.
type Sample struct {
	At            float64
	Utilization   float64
	Fragmentation float64
}

// JobResult is one finished job, for plots.
type JobResult struct {
	Completion float64
	Wait       float64
	Size       int
}

// Result contains the metrics and the time series behind them.
type Result struct {
	Figures Figures
	Samples []Sample
	Jobs    []JobResult
}

// progress is the state of one job according to the events.
type progress struct {
	line          *trace.Line
	placement     []trace.MemberPlacement
	firstStart    float64
	startedAt     float64
	remaining     float64
	started       bool
	running       bool
	checkpointing bool
	finishedAt    float64
	finished      bool
	canceled      bool
	refused       bool
	attempt       int
}

type evaluator struct {
	cluster               *trace.Cluster
	capacity              *capacity
	guarantees            *guaranteeChecker
	jobs                  map[string]*progress
	order                 []string
	figures               Figures
	result                Result
	now                   float64
	busyTime              float64
	upTime                float64
	fragmentationIntegral float64
	fragmentationTime     float64
	useful                float64
}

// step is a trace line, an event, or the end of a checkpoint.
type step struct {
	at           float64
	rank         int
	line         *trace.Line
	event        *trace.Event
	checkpointed *progress
}

// Order of steps at the same time: ends first, then trace lines, then decisions.
const (
	rankCheckpointed = iota
	rankFinish
	rankTrace
	rankDecision
)

// Compute processes the trace and the events in time order.
func Compute(c *trace.Cluster, lines []trace.Line, events []trace.Event) Result {
	w := &evaluator{cluster: c, jobs: map[string]*progress{}}
	w.capacity = newCapacity(c, lines)
	w.guarantees = newGuaranteeChecker(c)
	for _, s := range w.steps(lines, events) {
		w.advance(s.at)
		w.apply(s)
	}
	w.guarantees.assignClaims(w.now)
	return w.summarize()
}

func (w *evaluator) steps(lines []trace.Line, events []trace.Event) []step {
	steps := make([]step, 0, len(lines)+len(events))
	for i := range lines {
		line := &lines[i]
		steps = append(steps, step{at: line.At, rank: rankTrace, line: line})
		if line.Event == trace.Submit {
			w.jobs[line.Job] = &progress{line: line, remaining: line.Duration}
			w.order = append(w.order, line.Job)
		}
	}
	for i := range events {
		event := &events[i]
		rank := rankDecision
		if event.Event == trace.Finish {
			rank = rankFinish
		}
		steps = append(steps, step{at: event.At, rank: rank, event: event})
		p := w.jobs[event.Job]
		if event.Event == trace.Preempt && p != nil && p.line.Checkpoint {
			steps = append(steps, step{at: event.At + p.line.CheckpointSeconds, rank: rankCheckpointed, checkpointed: p, event: event})
		}
	}
	slices.SortStableFunc(steps, func(a, b step) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.rank, b.rank))
	})
	return steps
}

// advance integrates the current state until the next step.
func (w *evaluator) advance(at float64) {
	length := at - w.now
	if length <= 0 {
		return
	}
	w.guarantees.assignClaims(w.now)
	up, free := w.capacity.up, w.capacity.freeTotal
	w.upTime += float64(up) * length
	w.busyTime += float64(up-free) * length
	sample := Sample{At: w.now}
	if up > 0 {
		sample.Utilization = 1 - float64(free)/float64(up)
	}
	if free > 0 {
		sample.Fragmentation = w.capacity.fragmentation()
		w.fragmentationIntegral += sample.Fragmentation * length
		w.fragmentationTime += length
	}
	w.result.Samples = append(w.result.Samples, sample)
	w.now = at
}

func (w *evaluator) apply(s step) {
	switch {
	case s.checkpointed != nil:
		w.endCheckpoint(s)
	case s.line != nil:
		w.applyLine(s.line)
	default:
		w.applyEvent(s.event)
	}
}

func (w *evaluator) endCheckpoint(s step) {
	if s.checkpointed.checkpointing && s.checkpointed.attempt == s.event.Attempt {
		s.checkpointed.checkpointing = false
		w.release(s.checkpointed)
		if !s.checkpointed.canceled {
			w.guarantees.requeue(s.event.Job)
		}
	}
}

func (w *evaluator) release(p *progress) {
	w.capacity.change(p.placement, -1)
	p.placement = nil
}

func (w *evaluator) applyLine(line *trace.Line) {
	switch line.Event {
	case trace.WorkerDown:
		w.capacity.setUp(line.Worker, false)
	case trace.WorkerUp:
		w.capacity.setUp(line.Worker, true)
	case trace.Cancel:
		p := w.jobs[line.Job]
		if !p.finished && !p.refused {
			p.canceled = true
			w.guarantees.remove(line.Job)
		}
	case trace.Submit:
		w.guarantees.submit(line)
	}
}

func (w *evaluator) applyEvent(event *trace.Event) {
	p := w.jobs[event.Job]
	switch event.Event {
	case trace.Start:
		w.start(p, event)
	case trace.Preempt:
		w.preempt(p, event)
	case trace.Stop:
		w.stop(p, event)
	case trace.Finish:
		p.running = false
		p.finished = true
		p.finishedAt = event.At
		w.useful += p.line.Duration * float64(p.line.Members*p.line.Accelerators)
		w.release(p)
		w.guarantees.end(event.Job)
	case trace.Reject:
		p.refused = true
		w.guarantees.remove(event.Job)
	}
}

func (w *evaluator) start(p *progress, event *trace.Event) {
	if len(event.Placement) != p.line.Members || !w.capacity.satisfiesSpread(event.Placement, p.line.Spread) {
		w.figures.PartialGangs++
	}
	if !p.started {
		p.started = true
		p.firstStart = event.At
	}
	p.running = true
	p.startedAt = event.At
	p.attempt = event.Attempt
	p.placement = event.Placement
	w.figures.OverCommits += w.capacity.change(p.placement, 1)
	w.guarantees.start(event.Job, event.At)
}

func (w *evaluator) preempt(p *progress, event *trace.Event) {
	w.figures.Preemptions++
	if event.For != event.Job {
		w.guarantees.preempts(event.For, event.At)
	}
	elapsed := event.At - p.startedAt
	if p.line.Checkpoint {
		p.checkpointing = true
		p.running = false
		p.remaining -= elapsed
		w.figures.LostWorkSeconds += p.line.CheckpointSeconds
	} else {
		p.running = false
		w.figures.LostWorkSeconds += elapsed
		w.release(p)
		w.guarantees.requeue(event.Job)
	}
	w.guarantees.end(event.Job)
}

// checkpointInterval is the maximum work in seconds that a job with checkpoints loses in a
// failure.
const checkpointInterval = 300

func (w *evaluator) stop(p *progress, event *trace.Event) {
	elapsed := event.At - p.startedAt
	lost := elapsed
	if p.line.Checkpoint {
		lost = elapsed - math.Floor(elapsed/checkpointInterval)*checkpointInterval
	}
	if p.checkpointing {
		lost = 0
	}
	w.figures.LostWorkSeconds += lost
	p.running = false
	p.checkpointing = false
	w.release(p)
	w.guarantees.end(event.Job)
	if !p.canceled {
		w.guarantees.requeue(event.Job)
	}
}

// Histograms count milliseconds up to ten years with three significant digits.
const (
	histogramMax    = int64(10 * 365 * 24 * 3600 * 1000)
	histogramDigits = 3
	millis          = 1000.0
)

func (w *evaluator) summarize() Result {
	completion := hdrhistogram.New(1, histogramMax, histogramDigits)
	urgent := hdrhistogram.New(1, histogramMax, histogramDigits)
	var completionSum, waitSum float64
	finished := 0
	for _, id := range w.order {
		p := w.jobs[id]
		w.figures.Jobs++
		switch {
		case p.refused:
			w.figures.Refused++
			continue
		case p.canceled:
			continue
		case !p.finished:
			w.figures.Unfinished++
			continue
		}
		finished++
		took := p.finishedAt - p.line.At
		wait := p.firstStart - p.line.At
		completionSum += took
		waitSum += wait
		record(completion, took)
		if p.line.Priority == job.Urgent {
			record(urgent, wait)
		}
		w.result.Jobs = append(w.result.Jobs, JobResult{Completion: took, Wait: wait, Size: p.line.Members * p.line.Accelerators})
	}
	f := &w.figures
	if finished > 0 {
		f.CompletionMean = completionSum / float64(finished)
		f.WaitMean = waitSum / float64(finished)
	}
	f.CompletionP50 = float64(completion.ValueAtQuantile(50)) / millis
	f.CompletionP95 = float64(completion.ValueAtQuantile(95)) / millis
	f.CompletionP99 = float64(completion.ValueAtQuantile(99)) / millis
	f.UrgentStartP99 = float64(urgent.ValueAtQuantile(99)) / millis
	if w.fragmentationTime > 0 {
		f.Fragmentation = w.fragmentationIntegral / w.fragmentationTime
	}
	if w.upTime > 0 {
		f.Utilization = w.useful / w.upTime
	}
	f.LateGuaranteedStarts = w.guarantees.lateStarts
	w.result.Figures = w.figures
	return w.result
}

func record(h *hdrhistogram.Histogram, seconds float64) {
	// A validated trace has no values outside the range.
	_ = h.RecordValue(max(1, int64(math.Round(seconds*millis))))
}
