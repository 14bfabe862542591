package fairshare

import (
	"slices"
	"time"

	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// Item is a task or gang that waits.
type Item struct {
	Tenant string
	// Demand is what the item takes.
	Demand taskgraph.Resources
	// Priority is the item's priority. All items of a group have the same.
	Priority int
	// Group separates items that shares do not reorder, for example by priority. Items of a lower
	// group come first.
	Group int
	// InOrder is set for all items of a group that shares do not reorder at all.
	InOrder bool
}

// Turns yields waiting items group by group. Within a group, the next item is the first one of the
// tenant with the lowest level.
type Turns struct {
	ledger *Ledger
	now    time.Time
	items  []Item
	// contenders holds the tenants by name. Their levels rise with each charge.
	contenders map[string]*contender
	// queues holds the items that are left in the current group, which ends before groupEnd.
	queues   []*queue
	groupEnd int
	// current is the queue whose turn it is; nil if that must be decided again.
	current *queue
	// taken marks the yielded items, and firstLeft is the first index that is not marked.
	taken     []bool
	firstLeft int
}

// contender is a tenant that takes turns.
type contender struct {
	held amount
	// reserved counts like held until the turns of the next priority.
	reserved   amount
	fadedShare float64
	weight     float64
	// level is the tenant's held, reserved and faded share in proportion to its weight.
	level float64
}

// queue holds the indexes of one tenant's items, or of all items of a group that stays in order.
type queue struct {
	owner   *contender
	indexes []int
}

// Turns returns the turns of items that are sorted by group, and within a group in the order in
// which the items of one tenant take their turns.
func (l *Ledger) Turns(items []Item, now time.Time) *Turns {
	return &Turns{ledger: l, now: now, items: items, contenders: map[string]*contender{}, taken: make([]bool, len(items))}
}

// NoItem is the index that Next returns if no item is left.
const NoItem = -1

// Next returns the index of the next item. ahead is true if the item comes before an earlier one of
// its group because of its tenant's share.
func (t *Turns) Next() (index int, ahead bool) {
	if len(t.queues) == 0 && !t.enterNextGroup() {
		return NoItem, false
	}
	if t.current == nil {
		t.current = lowestLevel(t.queues)
	}
	index = t.takeFirst(t.current)
	ahead = index > t.firstLeft
	t.markTaken(index)
	return index, ahead
}

// Charge counts an item as held by its tenant for the rest of the turns.
func (t *Turns) Charge(index int) {
	c := t.contender(t.items[index].Tenant)
	c.held = c.held.plus(amountOf(t.items[index].Demand))
	c.updateLevel(t.ledger.capacity)
	t.current = nil
}

// ChargeReservation counts an item as held by its tenant for the rest of the turns of its priority. The
// item holds nothing yet, so it does not count against what its tenant wants at lower priorities.
func (t *Turns) ChargeReservation(index int) {
	c := t.contender(t.items[index].Tenant)
	c.reserved = c.reserved.plus(amountOf(t.items[index].Demand))
	c.updateLevel(t.ledger.capacity)
	t.current = nil
}

// dropReservations ends the effect of ChargeReservation.
func (t *Turns) dropReservations() {
	for _, c := range t.contenders {
		c.reserved = amount{}
		c.updateLevel(t.ledger.capacity)
	}
}

// enterNextGroup queues the items of the next group. It returns false if there is none.
func (t *Turns) enterNextGroup() bool {
	start := t.groupEnd
	if start == len(t.items) {
		return false
	}
	if start > 0 && t.items[start].Priority != t.items[start-1].Priority {
		t.dropReservations()
	}
	byTenant := map[string]*queue{}
	for t.groupEnd < len(t.items) && t.items[t.groupEnd].Group == t.items[start].Group {
		t.enqueue(byTenant, t.groupEnd)
		t.groupEnd++
	}
	t.firstLeft = start
	return true
}

// enqueue adds an item to its tenant's queue, or to the only queue of a group that stays in order.
func (t *Turns) enqueue(byTenant map[string]*queue, index int) {
	tenant := t.items[index].Tenant
	if t.items[index].InOrder {
		tenant = ""
	}
	q := byTenant[tenant]
	if q == nil {
		q = &queue{owner: t.contender(tenant)}
		byTenant[tenant] = q
		t.queues = append(t.queues, q)
	}
	q.indexes = append(q.indexes, index)
}

// lowestLevel returns the queue of the tenant with the lowest level; of equal ones, the queue whose
// first item comes first.
func lowestLevel(queues []*queue) *queue {
	lowest := queues[0]
	for _, q := range queues[1:] {
		if q.owner.level < lowest.owner.level || q.owner.level == lowest.owner.level && q.indexes[0] < lowest.indexes[0] {
			lowest = q
		}
	}
	return lowest
}

// takeFirst removes the first index of a queue, and the queue once it is empty.
func (t *Turns) takeFirst(q *queue) int {
	index := q.indexes[0]
	q.indexes = q.indexes[1:]
	if len(q.indexes) == 0 {
		t.queues = slices.DeleteFunc(t.queues, func(other *queue) bool { return other == q })
		t.current = nil
	}
	return index
}

func (t *Turns) markTaken(index int) {
	t.taken[index] = true
	for t.firstLeft < len(t.taken) && t.taken[t.firstLeft] {
		t.firstLeft++
	}
}

func (t *Turns) contender(tenant string) *contender {
	c := t.contenders[tenant]
	if c == nil {
		c = &contender{weight: t.ledger.weight(tenant)}
		if a := t.ledger.accounts[tenant]; a != nil {
			c.held = amountOf(a.held)
			c.fadedShare = a.fadedAt(t.now).dominantShare(t.ledger.capacity)
		}
		c.updateLevel(t.ledger.capacity)
		t.contenders[tenant] = c
	}
	return c
}

func (c *contender) updateLevel(capacity amount) {
	c.level = (c.held.plus(c.reserved).dominantShare(capacity) + c.fadedShare) / c.weight
}
