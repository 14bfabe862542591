package pool

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// maxDurationModels bounds the models in an owner's memory.
	maxDurationModels = 4096
	// maxHeadModelBytes bounds the models in a head row, which is part of each of the owner's
	// transactions.
	maxHeadModelBytes = 8000
	// maxHeadBytes bounds a head row.
	maxHeadBytes = maxHeadModelBytes + 600
	// headModelBytes is an upper bound on the size of a model in a head row without the queue's name.
	headModelBytes = 190
)

// learnedModel is the duration model of a queue and when it was last needed.
type learnedModel struct {
	durationModel
	// learnedAt is when a run of the queue was last learned, or when the model was taken over.
	learnedAt time.Time
}

// durationModels holds the duration models of queues. Queues come and go with the configuration and are
// named by operators, so every copy of the models is bounded in bytes. Head rows hold models of used
// queues only. Where not all models fit, those stay that are likeliest to be needed: those of used
// queues, and then those that learned last.
type durationModels struct {
	byQueue map[string]*learnedModel
	// headBytes bounds the models in a head row.
	headBytes int
	// used holds the queues that jobs may come from or that have open jobs; nil if they are not known.
	// All queues count as used then.
	used map[string]bool
	// inHead caches the queues whose models go into head rows, and outsideHead all others, the
	// likeliest to be needed first. Both are valid while divided is true.
	inHead, outsideHead []string
	divided             bool
}

func newDurationModels() *durationModels {
	return &durationModels{byQueue: map[string]*learnedModel{}, headBytes: maxHeadModelBytes}
}

// of returns the model of a queue, or nil if there is none.
func (d *durationModels) of(queue string) *durationModel {
	if learned := d.byQueue[queue]; learned != nil {
		return &learned.durationModel
	}
	return nil
}

// modelToLearn returns the model of a queue of which a run has ended. It creates the model if needed.
func (d *durationModels) modelToLearn(queue string, now time.Time) *durationModel {
	if d.byQueue[queue] == nil {
		d.add(queue, &learnedModel{})
	}
	if d.used != nil && !d.used[queue] {
		d.used[queue], d.divided = true, false
	}
	learned := d.byQueue[queue]
	learned.learnedAt = now
	return &learned.durationModel
}

// merge takes over a stored model unless the present one has learned more.
func (d *durationModels) merge(queue string, stored durationModel, now time.Time) {
	switch current := d.byQueue[queue]; {
	case current == nil:
		d.add(queue, &learnedModel{durationModel: stored, learnedAt: now})
	case stored.Weight > current.Weight:
		current.durationModel = stored
	}
}

// add adds the model of a queue that has none. If there are maxDurationModels, the model that is
// least likely to be needed is dropped.
func (d *durationModels) add(queue string, model *learnedModel) {
	if len(d.byQueue) >= maxDurationModels {
		d.remove(d.leastNeeded())
	}
	d.byQueue[queue] = model
	d.divided = false
}

func (d *durationModels) remove(queue string) {
	delete(d.byQueue, queue)
	d.divided = false
}

// headBytesOf returns an upper bound on the size of a queue's model in a head row.
func headBytesOf(queue string) int { return len(mustEncode(queue)) + headModelBytes }

// setUsed sets the queues that jobs may come from or that have open jobs; nil if they are not known.
func (d *durationModels) setUsed(used map[string]bool) { d.used, d.divided = used, false }

// candidate is a queue with a model and what tells how likely the model is needed.
type candidate struct {
	queue string
	used  bool
	model *learnedModel
}

func (d *durationModels) candidates() []candidate {
	candidates := make([]candidate, 0, len(d.byQueue))
	for queue, model := range d.byQueue {
		candidates = append(candidates, candidate{queue: queue, used: d.used == nil || d.used[queue], model: model})
	}
	return candidates
}

// compareNeed orders two queues by how likely their models are needed, the likelier one first.
func compareNeed(a, b candidate) int {
	if a.used != b.used {
		if a.used {
			return -1
		}
		return 1
	}
	return cmp.Or(b.model.learnedAt.Compare(a.model.learnedAt), cmp.Compare(b.model.Weight, a.model.Weight), strings.Compare(a.queue, b.queue))
}

func (d *durationModels) leastNeeded() string {
	return slices.MaxFunc(d.candidates(), compareNeed).queue
}

// divide divides the queues into those whose models go into head rows, as far as they fit, and the others.
func (d *durationModels) divide() {
	if d.divided {
		return
	}
	candidates := d.candidates()
	slices.SortFunc(candidates, compareNeed)
	d.inHead, d.outsideHead, d.divided = nil, nil, true
	room := d.headBytes
	for _, c := range candidates {
		if bytes := headBytesOf(c.queue); c.used && bytes <= room {
			room -= bytes
			d.inHead = append(d.inHead, c.queue)
		} else {
			d.outsideHead = append(d.outsideHead, c.queue)
		}
	}
}

// forHead returns the models for a head row.
func (d *durationModels) forHead() map[string]*durationModel {
	d.divide()
	models := make(map[string]*durationModel, len(d.inHead))
	for _, queue := range d.inHead {
		models[queue] = d.of(queue)
	}
	return models
}

// shrinkHead halves the bound of the models in a head row. It reports whether there were any.
func (d *durationModels) shrinkHead() bool {
	shrinks := len(d.forHead()) > 0
	d.headBytes, d.divided = d.headBytes/2, false
	return shrinks
}

// queuesOutsideHead returns the queues whose models are not in head rows, the likeliest to be needed
// first.
func (d *durationModels) queuesOutsideHead() []string {
	d.divide()
	return d.outsideHead
}
