package admission

import (
	"math/bits"
	"slices"
	"time"
)

// LengthFactor is the default ratio of Item.OrderPenalty to Item.Work: one second
// of predicted work moves a request back by this many seconds among the requests
// of its account. A larger factor is closer to shortest-first, a smaller one closer
// to first come, first served.
const LengthFactor = 4

// Class describes which targets can run a request, one bit per target. An
// exclusive request runs only on a target that runs no other exclusive request.
type Class struct {
	// Suitable are the targets that suit the request.
	Suitable uint64
	// Possible are the targets that can run the request, including Suitable. The
	// request uses the other ones only while no waiting request of its tier has a
	// free target among Suitable; lower tiers get them after this request.
	Possible  uint64
	Exclusive bool
	// Remote marks a request from another data centre. Within a tier it is served after all
	// requests that are not.
	Remote bool
}

// WithheldTargets names targets that are kept free for a request of Tier that does not
// fit on them yet.
type WithheldTargets struct {
	Targets uint64
	Tier    int
}

// Allowed returns the targets of free that a tier may use: tiers below (larger
// than) w.Tier do not get the withheld targets.
func (w WithheldTargets) Allowed(tier int, free uint64) uint64 {
	if tier > w.Tier {
		return free &^ w.Targets
	}
	return free
}

// Item is one waiting request. The exported fields are set by the caller before
// Add and must not change while the item waits, except through Reclassify.
type Item[V any] struct {
	Value   V
	Account string
	Tier    int
	Class   Class
	// Work is the predicted time in a slot of the reference target.
	Work    time.Duration
	Arrived time.Time
	// Timer is the time at which Due returns the item.
	Timer time.Time
	// OrderPenalty moves the item back among those of its account.
	OrderPenalty time.Duration
	// Charged marks an item that is queued again after its work was charged to its
	// account. Dequeue does not charge it a second time.
	Charged bool

	lane       *lane[V]
	laneIndex  int
	timerIndex int
	older      *Item[V]
	newer      *Item[V]
}

// Waiting reports whether the item is in a queue.
func (i *Item[V]) Waiting() bool {
	return i.lane != nil
}

// orderKey is the sort key among the requests of one account, in nanoseconds.
func (i *Item[V]) orderKey() int64 {
	return i.Arrived.UnixNano() + int64(i.OrderPenalty)
}

// Queue holds waiting requests. The zero value is not usable; call New.
type Queue[V any] struct {
	tiers  []*tier[V]
	timers indexedHeap[*Item[V]]
}

// New returns an empty queue.
func New[V any]() *Queue[V] {
	return &Queue[V]{timers: indexedHeap[*Item[V]]{
		less:       func(a, b *Item[V]) bool { return a.Timer.Before(b.Timer) },
		indexField: func(item *Item[V]) *int { return &item.timerIndex },
	}}
}

// Add puts an item into the queue. The item must not be waiting already.
func (q *Queue[V]) Add(item *Item[V]) {
	for len(q.tiers) <= item.Tier {
		q.tiers = append(q.tiers, newTier[V]())
	}
	q.tiers[item.Tier].add(item)
	q.timers.push(item)
}

// Remove takes an item out without charging its account. It is used for
// cancelled and refused requests.
func (q *Queue[V]) Remove(item *Item[V]) {
	q.tiers[item.Tier].remove(item)
	q.timers.remove(item)
}

// Dequeue takes an item out for dispatch and charges its work to its account,
// unless it was charged before.
func (q *Queue[V]) Dequeue(item *Item[V]) {
	t := q.tiers[item.Tier]
	flow := item.lane.flow
	t.virtualTime = max(t.virtualTime, flow.startTag)
	if !item.Charged {
		flow.startTag += item.Work.Seconds()
		t.fixLanes(flow)
	}
	q.Remove(item)
}

// Next returns the item to dispatch first among those that can run on one of
// the free targets. Exclusive items are limited to the targets in exclusive.
// Tiers below (larger than) the tier of withheld do not get its targets. It
// returns the item and the free targets that it may use, or nil.
func (q *Queue[V]) Next(free, exclusive uint64, withheld WithheldTargets) (*Item[V], uint64) {
	for i, t := range q.tiers {
		if item, usable := t.next(withheld.Allowed(i, free), exclusive); item != nil {
			return item, usable
		}
	}
	return nil, 0
}

// SetTimer changes the time at which Due returns the item.
func (q *Queue[V]) SetTimer(item *Item[V], at time.Time) {
	item.Timer = at
	q.timers.fix(item)
}

// Due returns an item whose timer is not after now, or nil. The caller removes
// the item or sets a later timer.
func (q *Queue[V]) Due(now time.Time) *Item[V] {
	if len(q.timers.items) == 0 || q.timers.items[0].Timer.After(now) {
		return nil
	}
	return q.timers.items[0]
}

// Len returns the number of waiting items.
func (q *Queue[V]) Len() int {
	return len(q.timers.items)
}

// Counts returns the number of waiting items by tier.
func (q *Queue[V]) Counts() []int {
	counts := make([]int, len(q.tiers))
	for i, t := range q.tiers {
		counts[i] = t.waiting
	}
	return counts
}

// LowestTier returns the largest tier number that has waiting items, or -1.
func (q *Queue[V]) LowestTier() int {
	for i, t := range slices.Backward(q.tiers) {
		if t.waiting > 0 {
			return i
		}
	}
	return -1
}

// Newest returns the item of a tier that was added last, or nil.
func (q *Queue[V]) Newest(tier int) *Item[V] {
	if tier >= len(q.tiers) {
		return nil
	}
	return q.tiers[tier].newest
}

// WorkAhead estimates the work that is served before an item of this tier, account,
// class and work: all work of higher tiers, and in its own tier the fair share of
// all accounts until the item is served. The work of a class is counted in
// proportion to the targets that the two classes share.
func (q *Queue[V]) WorkAhead(tier int, account string, class Class, work time.Duration) time.Duration {
	total := time.Duration(0)
	for i, t := range q.tiers[:min(tier+1, len(q.tiers))] {
		shared := t.sharedWork(class)
		if i == tier {
			shared = min(shared, t.fairWork(account, work))
		}
		total += shared
	}
	return total
}

// SetClass changes the class of a waiting item.
func (q *Queue[V]) SetClass(item *Item[V], class Class) {
	if class == item.Class {
		return
	}
	t := q.tiers[item.Tier]
	t.remove(item)
	item.Class = class
	t.add(item)
}

// CountUpTo returns the number of waiting items of a tier and all higher ones.
func (q *Queue[V]) CountUpTo(tier int) int {
	count := 0
	for _, t := range q.tiers[:min(tier+1, len(q.tiers))] {
		count += t.waiting
	}
	return count
}

// Reclassify recomputes the class of every item. Its cost grows with the number
// of waiting items; it is meant for changes of the target set.
func (q *Queue[V]) Reclassify(class func(item *Item[V]) Class) {
	for _, item := range slices.Clone(q.timers.items) {
		q.SetClass(item, class(item))
	}
}

// CountAhead returns the number of waiting items of all tiers above a tier, and of those of
// the tier itself that are served before or among its remote or its other items.
func (q *Queue[V]) CountAhead(tier int, remote bool) int {
	count := q.CountUpTo(tier)
	if !remote && tier < len(q.tiers) {
		count -= q.tiers[tier].remoteWaiting
	}
	return count
}

// ForEachMatching calls visit for every waiting item of the classes that match; visit
// may remove the item. Its cost grows with the items of those classes.
func (q *Queue[V]) ForEachMatching(match func(Class) bool, visit func(item *Item[V])) {
	var found []*Item[V]
	for _, t := range q.tiers {
		for _, c := range t.classes {
			if !match(c.Class) {
				continue
			}
			for _, l := range c.lanes.items {
				found = append(found, l.items.items...)
			}
		}
	}
	for _, item := range found {
		visit(item)
	}
}

// Work returns the predicted work of all waiting items.
func (q *Queue[V]) Work() time.Duration {
	total := time.Duration(0)
	for _, t := range q.tiers {
		for _, c := range t.classes {
			total += c.work
		}
	}
	return total
}

// overlappingWork returns the part of the work waiting in one class that competes
// for the targets of candidate. It assumes that the work is spread evenly over the
// targets of its class.
func overlappingWork(work time.Duration, waiting, candidate Class) time.Duration {
	size := bits.OnesCount64(waiting.Suitable)
	if size == 0 {
		return 0
	}
	common := bits.OnesCount64(waiting.Suitable & candidate.Suitable)
	return work * time.Duration(common) / time.Duration(size)
}
