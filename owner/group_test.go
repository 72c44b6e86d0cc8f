package owner

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC)

func oneTargetGroup(slots int) *Group {
	g := NewGroup("assistant", 0, Options{})
	g.SetTargets(start, []TargetInfo{{Name: "t0", Hardware: "h1", Slots: slots, KVTokens: 100_000}})
	return g
}

func request(id string, tier int) Request {
	return Request{
		ID: id, Entry: "e1", Service: "assistant", Account: "a", Tier: tier,
		PromptTokens: 100, OutputTokens: 100, Deadline: start.Add(time.Minute), Preemptible: true,
	}
}

// summarize returns the kinds of decisions with their request IDs, and the reasons of
// refusals.
func summarize(decisions []Decision) string {
	text := ""
	names := map[DecisionKind]string{Grant: "grant", Queued: "queued", Refuse: "refuse", Preempt: "preempt"}
	for _, d := range decisions {
		text += names[d.Kind] + ":" + d.ID
		if d.Kind == Refuse {
			text += ":" + d.Reason.String()
		}
		text += " "
	}
	return text
}

func doneReport(id string) Report {
	return Report{ID: id, Outcome: OutcomeDone, PromptTokens: 100, OutputTokens: 100,
		FirstToken: 50 * time.Millisecond, Duration: 2 * time.Second}
}

// Guards against more requests on a target than its slots and the backlog of 1.
func TestInFlightLimitIsSlotsPlusOne(t *testing.T) {
	g := oneTargetGroup(2)
	for i := range 3 {
		id := fmt.Sprint(i)
		assert.Equal(t, summarize(g.Reserve(start, request(id, 0))), "grant:"+id+" ")
	}
	assert.Equal(t, summarize(g.Reserve(start, request("3", 0))), "queued:3 ")
	assert.Equal(t, len(g.InFlight("t0")), 3)
	assert.Equal(t, summarize(g.Release(start, doneReport("0"))), "grant:3 ")
}

// Guards against lower-tier work that is dispatched while a higher tier waits.
func TestHigherTierGoesFirst(t *testing.T) {
	g := oneTargetGroup(1)
	g.Reserve(start, request("a", 0))
	g.Reserve(start, request("b", 0))
	g.Reserve(start, request("low", 2))
	g.Reserve(start, request("mid", 1))
	g.Reserve(start, request("high", 0))
	assert.Equal(t, summarize(g.Release(start, doneReport("a"))), "grant:high ")
	assert.Equal(t, summarize(g.Release(start, doneReport("b"))), "grant:mid ")
	assert.Equal(t, summarize(g.Release(start, doneReport("high"))), "grant:low ")
}

// Guards against requests that wait without end and are never refused.
func TestWaitingRequestIsRefusedAtItsDeadline(t *testing.T) {
	g := oneTargetGroup(1)
	g.Reserve(start, request("a", 0))
	g.Reserve(start, request("b", 0))
	late := request("late", 1)
	late.Deadline = start.Add(5 * time.Second)
	g.Reserve(start, late)
	assert.Equal(t, summarize(g.Tick(start.Add(4*time.Second))), "")
	assert.Equal(t, summarize(g.Tick(start.Add(5*time.Second))), "refuse:late:expired ")
	assert.Equal(t, g.Load().LowestTier, 0)
}

// Guards against requests of a dead entry that hold slots or stay in the queue.
func TestEntryGoneFreesItsSlotsAndQueue(t *testing.T) {
	g := oneTargetGroup(1)
	g.Reserve(start, request("a", 0))
	g.Reserve(start, request("b", 0))
	g.Reserve(start, request("c", 0))
	other := request("other", 1)
	other.Entry = "e2"
	g.Reserve(start, other)
	assert.Equal(t, summarize(g.DropEntry(start, "e1")), "grant:other ")
	assert.Equal(t, len(g.InFlight("t0")), 1)
}

// Guards against a new owner that grants more requests than a target has slots,
// because it does not know the grants of the previous owner.
func TestResyncRegistersGrantsOfTheEarlierOwner(t *testing.T) {
	g := oneTargetGroup(1)
	held := []HeldGrant{{Request: request("a", 0), Target: "t0"}, {Request: request("b", 0), Target: "t0"}}
	g.Resync(start, "e1", held)
	assert.Equal(t, summarize(g.Reserve(start, request("c", 0))), "queued:c ")
	later := start.Add(3 * time.Second)
	assert.Equal(t, summarize(g.Resync(later, "e1", held[:1])), "grant:c ")
}

// Guards against suspects that share a target: the loss of a target must be evidence
// against one suspect at most.
func TestSuspectsDoNotShareATarget(t *testing.T) {
	g := oneTargetGroup(4)
	a, b := request("a", 0), request("b", 0)
	a.Suspect, b.Suspect = true, true
	assert.Equal(t, summarize(g.Reserve(start, a)), "grant:a ")
	assert.Equal(t, summarize(g.Reserve(start, b)), "queued:b ")
	assert.Equal(t, summarize(g.Reserve(start, request("c", 0))), "grant:c ")
	assert.Equal(t, summarize(g.Release(start, doneReport("a"))), "grant:b ")
}

// Guards against preempted requests that are lost or run twice: the victim keeps its
// slot until its release, is then queued again and granted again.
func TestPreemptedRequestWaitsAgain(t *testing.T) {
	g := oneTargetGroup(1)
	g.Reserve(start, request("low1", 2))
	g.Reserve(start, request("low2", 2))
	high := request("high", 0)
	assert.Equal(t, summarize(g.Reserve(start, high)), "queued:high ")
	now := start.Add(DefaultPreemptAfter)
	assert.Equal(t, summarize(g.Tick(now)), "preempt:low2 ")
	assert.Equal(t, summarize(g.Tick(now.Add(10*time.Millisecond))), "")
	report := Report{ID: "low2", Outcome: OutcomePreempted, OutputTokens: 10}
	assert.Equal(t, summarize(g.Release(now, report)), "queued:low2 grant:high ")
	assert.Equal(t, summarize(g.Release(now, doneReport("low1"))), "grant:low2 ")
}

// Guards against new work on a target that is down, leaving or ejected.
func TestOnlyUpTargetsGetWork(t *testing.T) {
	for _, state := range []TargetState{TargetDown, TargetLeaving, TargetEjected} {
		g := oneTargetGroup(1)
		g.Reserve(start, request("a", 0))
		g.Reserve(start, request("b", 0))
		g.Reserve(start, request("c", 0))
		assert.Equal(t, summarize(g.SetTargetState(start, "t0", state)), "refuse:c:no-target ")
		assert.Equal(t, summarize(g.Release(start, doneReport("a"))), "")
		assert.Equal(t, summarize(g.Reserve(start, request("d", 0))), "refuse:d:no-target ")
		assert.Equal(t, summarize(g.SetTargetState(start, "t0", TargetUp)), "")
		assert.Equal(t, summarize(g.Reserve(start, request("e", 0))), "grant:e ")
	}
}

// trainGroup has the model of a group observe requests of 100+100 tokens that take
// 2 s, so that its estimates are confident and the group refuses early.
func trainGroup(t *testing.T, g *Group) {
	t.Helper()
	for i := range 40 {
		id := fmt.Sprintf("settle%d", i)
		assert.Equal(t, summarize(g.Reserve(start, request(id, 0))), "grant:"+id+" ")
		g.Release(start.Add(2*time.Second), doneReport(id))
	}
}

// Guards against a request that waits although it cannot end in time, and against a
// refusal without a retry-after time.
func TestEarlyRefusalTellsWhenToRetry(t *testing.T) {
	g := oneTargetGroup(1)
	trainGroup(t, g)
	for i := range 12 {
		g.Reserve(start, request(fmt.Sprint(i), 0))
	}
	late := request("late", 0)
	late.Deadline = start.Add(8 * time.Second)
	decisions := g.Reserve(start, late)
	assert.Equal(t, summarize(decisions), "refuse:late:capacity ")
	assert.Assert(t, decisions[0].RetryAfter >= minRetryAfter && decisions[0].RetryAfter <= maxRetryAfter)
	relaxed := request("relaxed", 0)
	assert.Equal(t, summarize(g.Reserve(start, relaxed)), "queued:relaxed ")
}

// Guards against shedding while lower-tier work runs (promise R2), and against
// preemption that the request does not permit because other groups were not asked yet.
func TestLateRequestPreemptsOnlyWhenPermitted(t *testing.T) {
	g := oneTargetGroup(1)
	trainGroup(t, g)
	g.Reserve(start, request("low1", 2))
	g.Reserve(start, request("low2", 2))
	high := request("high", 0)
	high.Deadline = start.Add(3 * time.Second)
	assert.Equal(t, summarize(g.Reserve(start, high)), "refuse:high:preemption-needed ")
	high.MayPreempt = true
	assert.Equal(t, summarize(g.Reserve(start, high)), "preempt:low2 queued:high ")
}

// Guards against a full queue of low-tier requests that blocks higher tiers, and
// against an unbounded queue.
func TestFullQueueEvictsTheLowestTier(t *testing.T) {
	g := NewGroup("assistant", 0, Options{MaxWaiting: 2})
	g.SetTargets(start, []TargetInfo{{Name: "t0", Slots: 1}})
	for _, id := range []string{"a", "b", "c", "d"} {
		r := request(id, 1)
		r.Preemptible = false
		g.Reserve(start, r)
	}
	assert.Equal(t, summarize(g.Reserve(start, request("low", 2))), "refuse:low:capacity ")
	assert.Equal(t, summarize(g.Reserve(start, request("high", 0))), "refuse:d:capacity queued:high ")
	assert.Equal(t, g.queue.Len(), 2)
}

// Guards against requests that wait until their deadline although they can never run.
func TestRequestsThatCannotRunAreRefusedAtOnce(t *testing.T) {
	g := oneTargetGroup(1)
	large := request("large", 0)
	large.PromptTokens = 200_000
	assert.Equal(t, summarize(g.Reserve(start, large)), "refuse:large:too-large ")
	excluded := request("excluded", 0)
	excluded.Exclude = []string{"t0"}
	assert.Equal(t, summarize(g.Reserve(start, excluded)), "refuse:excluded:no-target ")
	past := request("past", 0)
	past.Deadline = start
	assert.Equal(t, summarize(g.Reserve(start, past)), "refuse:past:deadline ")
}

// Guards against starvation of a large request: smaller requests of its tier keep the
// KV cache so full that it never fits.
func TestLargeRequestIsNotDeferredIndefinitely(t *testing.T) {
	g := NewGroup("assistant", 0, Options{})
	g.SetTargets(start, []TargetInfo{{Name: "t0", Slots: 8, KVTokens: 1000}})
	small := func(id string) Request {
		r := request(id, 0)
		r.PromptTokens, r.OutputTokens, r.Account = 200, 50, "small"
		return r
	}
	for i := range 4 {
		g.Reserve(start, small(fmt.Sprint(i)))
	}
	large := request("large", 0)
	large.PromptTokens, large.OutputTokens = 700, 100
	assert.Equal(t, summarize(g.Reserve(start, large)), "queued:large ")
	oldest := 0
	for i := 4; i < 300; i++ {
		g.Reserve(start, small(fmt.Sprint(i)))
		if g.jobs["large"].target != nil {
			return
		}
		g.Release(start, doneReport(fmt.Sprint(oldest)))
		oldest++
	}
	t.Fatal("300 small requests were granted before the large one")
}

// Guards against a second slot for a request whose reply was lost: the entry repeats
// the Reserve and gets the same grant.
func TestRepeatedReserveRepeatsTheAnswer(t *testing.T) {
	g := oneTargetGroup(1)
	assert.Equal(t, summarize(g.Reserve(start, request("a", 0))), "grant:a ")
	assert.Equal(t, summarize(g.Reserve(start, request("a", 0))), "grant:a ")
	assert.Equal(t, len(g.InFlight("t0")), 1)
}

// Guards against a full queue that sheds a middle tier for a higher one while work of
// a still lower tier runs (promise R2).
func TestFullQueuePreemptsBeforeItEvicts(t *testing.T) {
	g := NewGroup("assistant", 0, Options{MaxWaiting: 1})
	g.SetTargets(start, []TargetInfo{{Name: "t0", Slots: 1}})
	g.Reserve(start, request("low1", 2))
	g.Reserve(start, request("low2", 2))
	g.Reserve(start, request("mid", 1))
	assert.Equal(t, summarize(g.Reserve(start, request("high", 0))), "preempt:low2 queued:high ")
}
