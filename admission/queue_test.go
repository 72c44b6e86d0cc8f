package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC)

const allTargets = ^uint64(0)

func item(name, account string, tier int, work time.Duration) *Item[string] {
	return &Item[string]{
		Value: name, Account: account, Tier: tier, Work: work, Arrived: start, Timer: start.Add(time.Minute),
		OrderPenalty: LengthFactor * work,
		Class:        Class{Targets: allTargets, Possible: allTargets},
	}
}

func take(q *Queue[string]) string {
	next, _ := q.Next(allTargets, allTargets, Withheld{Tier: 99})
	if next == nil {
		return ""
	}
	q.Dequeue(next)
	return next.Value
}

// Guards against an account that floods its tier and starves the others: each
// gets the same work, whatever the number of its requests.
func TestAccountsShareATierByWork(t *testing.T) {
	q := New[string]()
	for i := range 300 {
		q.Add(item("long", "long", 0, 4*time.Second))
		q.Add(item("short", "short", 0, time.Second))
		if i < 3 {
			q.Add(item("few", "few", 0, time.Second))
		}
	}
	counts := make(map[string]int)
	for range 50 {
		counts[take(q)]++
	}
	assert.Equal(t, counts["few"], 3)
	work := map[string]int{"long": 4 * counts["long"], "short": counts["short"]}
	assert.Assert(t, work["long"]-work["short"] <= 4 && work["short"]-work["long"] <= 4, "%v", work)
}

// Guards against an account that gains by letting its queue run empty.
func TestIdleAccountKeepsItsDebt(t *testing.T) {
	q := New[string]()
	for range 10 {
		q.Add(item("b", "b", 0, time.Second))
	}
	q.Add(item("a", "a", 0, 5*time.Second))
	for range 2 {
		take(q)
	}
	q.Add(item("a", "a", 0, 5*time.Second))
	for range 4 {
		assert.Equal(t, take(q), "b")
	}
}

// Guards against one-line requests that wait behind long ones of their account,
// and against long ones that are passed for ever.
func TestShortRequestsPassLongOnesForABoundedTime(t *testing.T) {
	q := New[string]()
	q.Add(item("long", "a", 0, 10*time.Second))
	early := item("early", "a", 0, 100*time.Millisecond)
	early.Arrived = start.Add(30 * time.Second)
	late := item("late", "a", 0, 100*time.Millisecond)
	late.Arrived = start.Add(41 * time.Second)
	q.Add(late)
	q.Add(early)
	assert.Equal(t, take(q), "early")
	assert.Equal(t, take(q), "long")
	assert.Equal(t, take(q), "late")
}

// Guards against a possible target that goes to a lower tier, or to a request
// that it suits badly while one of the same tier suits.
func TestPossibleTargetsComeAfterSuitableOnes(t *testing.T) {
	q := New[string]()
	fastOnly := item("fast only", "a", 0, time.Second)
	fastOnly.Class = Class{Targets: 1, Possible: 3}
	lower := item("lower", "a", 1, time.Second)
	q.Add(fastOnly)
	q.Add(lower)
	suits := item("suits", "b", 0, time.Minute)
	q.Add(suits)
	const slow = 2
	next, usable := q.Next(slow, slow, Withheld{Tier: 99})
	assert.Equal(t, next.Value, "suits")
	assert.Equal(t, usable, uint64(slow))
	q.Dequeue(next)
	next, _ = q.Next(slow, slow, Withheld{Tier: 99})
	assert.Equal(t, next.Value, "fast only")
}

// Guards against counts, sums or heaps that are damaged by any sequence of
// calls: the queue is compared with a plain list.
func TestQueueMatchesAPlainList(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 1))
	q := New[string]()
	var list []*Item[string]
	for i := range 20_000 {
		if len(list) == 0 || rng.IntN(20) < 11 {
			it := item(fmt.Sprint(i), fmt.Sprint(rng.IntN(6)), rng.IntN(3), time.Duration(1+rng.IntN(9000))*time.Millisecond)
			it.Class.Targets = 1 + uint64(rng.IntN(7))
			it.Class.Possible = it.Class.Targets | 4
			it.Timer = start.Add(time.Duration(rng.IntN(1000)) * time.Second)
			q.Add(it)
			list = append(list, it)
		} else {
			at := rng.IntN(len(list))
			it := list[at]
			switch rng.IntN(4) {
			case 0:
				q.Remove(it)
			case 1:
				q.SetTimer(it, start.Add(time.Duration(rng.IntN(1000))*time.Second))
				continue
			case 2:
				q.SetClass(it, Class{Targets: 2, Possible: 6})
				continue
			default:
				free := 1 + uint64(rng.IntN(7))
				next, usable := q.Next(free, free, Withheld{Tier: 99})
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
		assert.Equal(t, q.Work(), sum(list))
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

func sum(list []*Item[string]) time.Duration {
	total := time.Duration(0)
	for _, it := range list {
		total += it.Work
	}
	return total
}
