package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var startTime = time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC)

const allTargets = ^uint64(0)

func newItem(name, account string, tier int, work time.Duration) *Item[string] {
	return &Item[string]{
		Value: name, Account: account, Tier: tier, Work: work, Arrived: startTime, Timer: startTime.Add(time.Minute),
		OrderPenalty: LengthFactor * work,
		Class:        Class{Suitable: allTargets, Possible: allTargets},
	}
}

func dequeueNext(q *Queue[string]) string {
	next, _ := q.Next(allTargets, allTargets, WithheldTargets{Tier: 99})
	if next == nil {
		return ""
	}
	q.Dequeue(next)
	return next.Value
}

// Guards against an account that starves the others of its tier by sending many
// requests: each account gets the same amount of work.
func TestAccountsShareATierByWork(t *testing.T) {
	q := New[string]()
	for i := range 300 {
		q.Add(newItem("long", "long", 0, 4*time.Second))
		q.Add(newItem("short", "short", 0, time.Second))
		if i < 3 {
			q.Add(newItem("few", "few", 0, time.Second))
		}
	}
	counts := make(map[string]int)
	for range 50 {
		counts[dequeueNext(q)]++
	}
	assert.Equal(t, counts["few"], 3)
	work := map[string]int{"long": 4 * counts["long"], "short": counts["short"]}
	assert.Assert(t, work["long"]-work["short"] <= 4 && work["short"]-work["long"] <= 4, "%v", work)
}

// Guards against an account that resets its start tag by letting its queue run
// empty and is then served before accounts that kept waiting.
func TestIdleAccountKeepsItsStartTag(t *testing.T) {
	q := New[string]()
	for range 10 {
		q.Add(newItem("b", "b", 0, time.Second))
	}
	q.Add(newItem("a", "a", 0, 5*time.Second))
	for range 2 {
		dequeueNext(q)
	}
	q.Add(newItem("a", "a", 0, 5*time.Second))
	for range 4 {
		assert.Equal(t, dequeueNext(q), "b")
	}
}

// Guards against short requests that wait behind long ones of their account, and
// against long ones that short requests overtake without limit.
func TestShortRequestsPassLongOnesForABoundedTime(t *testing.T) {
	q := New[string]()
	q.Add(newItem("long", "a", 0, 10*time.Second))
	early := newItem("early", "a", 0, 100*time.Millisecond)
	early.Arrived = startTime.Add(30 * time.Second)
	late := newItem("late", "a", 0, 100*time.Millisecond)
	late.Arrived = startTime.Add(41 * time.Second)
	q.Add(late)
	q.Add(early)
	assert.Equal(t, dequeueNext(q), "early")
	assert.Equal(t, dequeueNext(q), "long")
	assert.Equal(t, dequeueNext(q), "late")
}

// Guards against a free target that goes to a lower tier while a request of the
// higher tier could use it, and against one that goes to a request for which it is
// only possible while it suits another request of the same tier.
func TestPossibleTargetsComeAfterSuitableOnes(t *testing.T) {
	q := New[string]()
	fastOnly := newItem("fast only", "a", 0, time.Second)
	fastOnly.Class = Class{Suitable: 1, Possible: 3}
	lower := newItem("lower", "a", 1, time.Second)
	q.Add(fastOnly)
	q.Add(lower)
	suitable := newItem("suits", "b", 0, time.Minute)
	q.Add(suitable)
	const slow = 2
	next, usable := q.Next(slow, slow, WithheldTargets{Tier: 99})
	assert.Equal(t, next.Value, "suits")
	assert.Equal(t, usable, uint64(slow))
	q.Dequeue(next)
	next, _ = q.Next(slow, slow, WithheldTargets{Tier: 99})
	assert.Equal(t, next.Value, "fast only")
}

// Guards against counts, sums or heaps that become inconsistent after a random
// sequence of calls: the queue is compared with a plain list.
func TestQueueMatchesAPlainList(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 1))
	q := New[string]()
	var list []*Item[string]
	for i := range 20_000 {
		if len(list) == 0 || rng.IntN(20) < 11 {
			it := newItem(fmt.Sprint(i), fmt.Sprint(rng.IntN(6)), rng.IntN(3), time.Duration(1+rng.IntN(9000))*time.Millisecond)
			it.Class.Suitable = 1 + uint64(rng.IntN(7))
			it.Class.Possible = it.Class.Suitable | 4
			it.Timer = startTime.Add(time.Duration(rng.IntN(1000)) * time.Second)
			q.Add(it)
			list = append(list, it)
		} else {
			at := rng.IntN(len(list))
			it := list[at]
			switch rng.IntN(4) {
			case 0:
				q.Remove(it)
			case 1:
				q.SetTimer(it, startTime.Add(time.Duration(rng.IntN(1000))*time.Second))
				continue
			case 2:
				q.SetClass(it, Class{Suitable: 2, Possible: 6})
				continue
			default:
				free := 1 + uint64(rng.IntN(7))
				next, usable := q.Next(free, free, WithheldTargets{Tier: 99})
				checkNext(t, list, next, usable, free)
				if next == nil {
					continue
				}
				it = next
				q.Dequeue(it)
				at = indexOf(list, it)
			}
			list = append(list[:at], list[at+1:]...)
		}
		assert.Equal(t, q.Len(), len(list))
		assert.Equal(t, q.Work(), totalWork(list))
	}
}

func checkNext(t *testing.T, list []*Item[string], next *Item[string], usable, free uint64) {
	t.Helper()
	best := 99
	for _, it := range list {
		if it.Class.Possible&free != 0 {
			best = min(best, it.Tier)
		}
	}
	if next == nil {
		assert.Equal(t, best, 99)
		return
	}
	assert.Equal(t, next.Tier, best)
	assert.Assert(t, usable != 0 && usable&^free == 0 && usable&^next.Class.Possible == 0)
}

func indexOf(list []*Item[string], it *Item[string]) int {
	for i, other := range list {
		if other == it {
			return i
		}
	}
	return -1
}

func totalWork(list []*Item[string]) time.Duration {
	total := time.Duration(0)
	for _, it := range list {
		total += it.Work
	}
	return total
}
