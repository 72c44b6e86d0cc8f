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
	// virtual is the start tag of the account that was served last.
	virtual float64
	count   int
	active  int
	newest  *Item[V]
}

// flow is one client account. Its start tag grows with the work that was
// dispatched for it; the account with the smallest tag is served next.
type flow[V any] struct {
	account string
	start   float64
	lanes   []*lane[V]
	work    [WorkBuckets]time.Duration
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
	l.flow.work[WorkBucket(item.Work)] += item.Work
	t.count++
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
	l.flow.work[WorkBucket(item.Work)] -= item.Work
	t.count--
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

// dropLane removes an empty lane, and the class and the account when nothing of
// them waits. An account that is ahead of the virtual time is remembered, so
// that it cannot reset its tag by letting its queue run empty.
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
	t.active--
	if f.start <= t.virtual {
		delete(t.flows, f.account)
	}
	if t.active == 0 {
		clear(t.flows)
		t.virtual = 0
	}
}

func (t *tier[V]) laneFor(item *Item[V]) *lane[V] {
	f := t.flows[item.Account]
	if f == nil {
		f = &flow[V]{account: item.Account}
		t.flows[item.Account] = f
	}
	if len(f.lanes) == 0 {
		f.start = max(f.start, t.virtual)
		t.active++
	}
	for _, l := range f.lanes {
		if l.class.Class == item.Class {
			return l
		}
	}
	l := &lane[V]{flow: f, class: t.classFor(item.Class), items: indexedHeap[*Item[V]]{
		less:  func(a, b *Item[V]) bool { return a.key() < b.key() },
		index: func(item *Item[V]) *int { return &item.laneIndex },
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
		less:  before[V],
		index: func(l *lane[V]) *int { return &l.index },
	}}
	t.classes = append(t.classes, c)
	return c
}

// before orders lanes by the tag of their account, then by their first item.
func before[V any](a, b *lane[V]) bool {
	if a.flow.start != b.flow.start {
		return a.flow.start < b.flow.start
	}
	return a.items.items[0].key() < b.items.items[0].key()
}

// moved restores the order of the classes after the tag of an account changed.
func (t *tier[V]) moved(f *flow[V]) {
	for _, l := range f.lanes {
		l.class.lanes.fix(l)
	}
}

// next returns the first item that a free target suits, else the first one for
// which a free target is possible.
func (t *tier[V]) next(free, exclusive uint64) (*Item[V], uint64) {
	suits := func(c Class) uint64 { return c.Targets }
	if item, usable := t.first(suits, free, exclusive); item != nil {
		return item, usable
	}
	return t.first(func(c Class) uint64 { return c.Possible }, free, exclusive)
}

func (t *tier[V]) first(mask func(Class) uint64, free, exclusive uint64) (*Item[V], uint64) {
	var best *lane[V]
	usable := uint64(0)
	for _, c := range t.classes {
		can := mask(c.Class) & free
		if c.Exclusive {
			can &= exclusive
		}
		if can == 0 {
			continue
		}
		if first := c.lanes.items[0]; best == nil || before(first, best) {
			best, usable = first, can
		}
	}
	if best == nil {
		return nil, 0
	}
	return best.items.items[0], usable
}

func (t *tier[V]) sharedWork(mine Class) time.Duration {
	total := time.Duration(0)
	for _, c := range t.classes {
		total += overlap(c.work, c.Class, mine)
	}
	return total
}

// fairWork bounds the work of this tier that is served before an item of an
// account: each active account gets as much as this one needs until then.
func (t *tier[V]) fairWork(account string, work time.Duration) time.Duration {
	own := time.Duration(0)
	if f := t.flows[account]; f != nil {
		for _, w := range f.work[:WorkBucket(work)+1] {
			own += w
		}
	}
	return (own + work) * time.Duration(t.active+1)
}

// WorkBucket returns the bucket of an amount of work.
func WorkBucket(work time.Duration) int {
	return min(bits.Len64(uint64(max(work, 0).Milliseconds())), WorkBuckets-1)
}
