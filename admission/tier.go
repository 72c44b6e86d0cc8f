package admission

import (
	"math/bits"
	"slices"
	"time"
)

// WorkBuckets is the number of powers of two, in milliseconds, by which the
// waiting work of an account is counted. The last one starts at 32 s.
const WorkBuckets = 16

// tier holds the waiting items of one tier.
type tier[V any] struct {
	flows   map[string]*flow[V]
	classes []*class[V]
	// virtualTime is the start tag of the account that was served last, in seconds
	// of work.
	virtualTime float64
	waiting     int
	// remoteWaiting is the part of waiting whose class is Remote.
	remoteWaiting int
	activeFlows   int
	newest        *Item[V]
}

// flow is one client account in start-time fair queueing. Its start tag grows
// with the work that was dispatched for it, in seconds; the account with the
// smallest tag is served next.
type flow[V any] struct {
	account      string
	startTag     float64
	lanes        []*lane[V]
	workByBucket [WorkBuckets]time.Duration
}

// lane holds the items of one account in one class.
type lane[V any] struct {
	flow  *flow[V]
	class *class[V]
	items indexedHeap[*Item[V]]
	index int
}

// class holds the lanes of one class that have waiting items.
type class[V any] struct {
	Class
	lanes indexedHeap[*lane[V]]
	work  time.Duration
}

func newTier[V any]() *tier[V] {
	return &tier[V]{flows: make(map[string]*flow[V])}
}

func (t *tier[V]) add(item *Item[V]) {
	l := t.laneFor(item)
	l.items.push(item)
	item.lane = l
	if len(l.items.items) == 1 {
		l.class.lanes.push(l)
	} else {
		l.class.lanes.fix(l)
	}
	l.class.work += item.Work
	l.flow.workByBucket[WorkBucket(item.Work)] += item.Work
	t.waiting++
	if l.class.Remote {
		t.remoteWaiting++
	}
	item.older = t.newest
	if t.newest != nil {
		t.newest.newer = item
	}
	t.newest = item
}

func (t *tier[V]) remove(item *Item[V]) {
	l := item.lane
	l.items.remove(item)
	item.lane = nil
	l.class.work -= item.Work
	l.flow.workByBucket[WorkBucket(item.Work)] -= item.Work
	t.waiting--
	if l.class.Remote {
		t.remoteWaiting--
	}
	t.unlink(item)
	if len(l.items.items) > 0 {
		l.class.lanes.fix(l)
		return
	}
	t.dropLane(l)
}

func (t *tier[V]) unlink(item *Item[V]) {
	if item.newer != nil {
		item.newer.older = item.older
	} else {
		t.newest = item.older
	}
	if item.older != nil {
		item.older.newer = item.newer
	}
	item.older, item.newer = nil, nil
}

// dropLane removes an empty lane, and its class and its account when they have no
// other waiting items. An account whose start tag is ahead of the virtual time is
// kept, so that it cannot reset its tag by letting its queue run empty. When no
// account has waiting items, all tags and the virtual time are reset.
func (t *tier[V]) dropLane(l *lane[V]) {
	l.class.lanes.remove(l)
	if len(l.class.lanes.items) == 0 {
		t.classes = slices.DeleteFunc(t.classes, func(c *class[V]) bool { return c == l.class })
	}
	f := l.flow
	f.lanes = slices.DeleteFunc(f.lanes, func(other *lane[V]) bool { return other == l })
	if len(f.lanes) > 0 {
		return
	}
	t.activeFlows--
	if f.startTag <= t.virtualTime {
		delete(t.flows, f.account)
	}
	if t.activeFlows == 0 {
		clear(t.flows)
		t.virtualTime = 0
	}
}

func (t *tier[V]) laneFor(item *Item[V]) *lane[V] {
	f := t.flows[item.Account]
	if f == nil {
		f = &flow[V]{account: item.Account}
		t.flows[item.Account] = f
	}
	if len(f.lanes) == 0 {
		f.startTag = max(f.startTag, t.virtualTime)
		t.activeFlows++
	}
	for _, l := range f.lanes {
		if l.class.Class == item.Class {
			return l
		}
	}
	l := &lane[V]{flow: f, class: t.classFor(item.Class), items: indexedHeap[*Item[V]]{
		less:       func(a, b *Item[V]) bool { return a.orderKey() < b.orderKey() },
		indexField: func(item *Item[V]) *int { return &item.laneIndex },
	}}
	f.lanes = append(f.lanes, l)
	return l
}

func (t *tier[V]) classFor(want Class) *class[V] {
	for _, c := range t.classes {
		if c.Class == want {
			return c
		}
	}
	c := &class[V]{Class: want, lanes: indexedHeap[*lane[V]]{
		less:       laneLess[V],
		indexField: func(l *lane[V]) *int { return &l.index },
	}}
	t.classes = append(t.classes, c)
	return c
}

// laneLess orders lanes by the start tag of their account, then by their first item.
func laneLess[V any](a, b *lane[V]) bool {
	if a.flow.startTag != b.flow.startTag {
		return a.flow.startTag < b.flow.startTag
	}
	return a.items.items[0].orderKey() < b.items.items[0].orderKey()
}

// fixLanes restores the lane order in each class after the start tag of f changed.
func (t *tier[V]) fixLanes(f *flow[V]) {
	for _, l := range f.lanes {
		l.class.lanes.fix(l)
	}
}

// next returns the first item with a free target among its suitable ones. If there
// is none, it returns the first item with a free target among its possible ones. Remote
// items are considered after all others. The second result is the set of free targets
// that the item may use.
func (t *tier[V]) next(free, exclusive uint64) (*Item[V], uint64) {
	if item, usable := t.nextOf(false, free, exclusive); item != nil || t.remoteWaiting == 0 {
		return item, usable
	}
	return t.nextOf(true, free, exclusive)
}

// nextOf is next for the items whose class is remote, or for the others.
func (t *tier[V]) nextOf(remote bool, free, exclusive uint64) (*Item[V], uint64) {
	suitable := func(c Class) uint64 { return c.Suitable }
	if item, usable := t.firstUsable(remote, suitable, free, exclusive); item != nil {
		return item, usable
	}
	return t.firstUsable(remote, func(c Class) uint64 { return c.Possible }, free, exclusive)
}

// firstUsable returns the first item, among those whose class is remote or among the others,
// that may use a free target of the set that maskOf selects from its class, and the targets
// that it may use, or nil.
func (t *tier[V]) firstUsable(remote bool, maskOf func(Class) uint64, free, exclusive uint64) (*Item[V], uint64) {
	var best *lane[V]
	usable := uint64(0)
	for _, c := range t.classes {
		candidates := maskOf(c.Class) & free
		if c.Exclusive {
			candidates &= exclusive
		}
		if candidates == 0 || c.Remote != remote {
			continue
		}
		if first := c.lanes.items[0]; best == nil || laneLess(first, best) {
			best, usable = first, candidates
		}
	}
	if best == nil {
		return nil, 0
	}
	return best.items.items[0], usable
}

// sharedWork returns the waiting work of this tier that competes for the targets
// of candidate and is served before it or in turns with it.
func (t *tier[V]) sharedWork(candidate Class) time.Duration {
	total := time.Duration(0)
	for _, c := range t.classes {
		if c.Remote && !candidate.Remote {
			continue
		}
		total += overlappingWork(c.work, c.Class, candidate)
	}
	return total
}

// fairWork bounds the work of this tier that is served before an item of an
// account. Until the account has been served the item and its waiting requests of
// up to the same size, each active account is served the same amount of work.
func (t *tier[V]) fairWork(account string, work time.Duration) time.Duration {
	own := time.Duration(0)
	if f := t.flows[account]; f != nil {
		for _, w := range f.workByBucket[:WorkBucket(work)+1] {
			own += w
		}
	}
	return (own + work) * time.Duration(t.activeFlows+1)
}

// WorkBucket returns the index of the bucket, from 0 to WorkBuckets-1, that counts
// an amount of work.
func WorkBucket(work time.Duration) int {
	return min(bits.Len64(uint64(max(work, 0).Milliseconds())), WorkBuckets-1)
}
