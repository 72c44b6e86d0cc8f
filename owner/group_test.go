package owner

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC)

func oneTarget(slots int) *Group {
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

func kinds(decisions []Decision) string {
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

func done(id string) Report {
	return Report{ID: id, Outcome: OutcomeDone, PromptTokens: 100, OutputTokens: 100,
		FirstToken: 50 * time.Millisecond, Duration: 2 * time.Second}
}

// Guards against more requests on a target than its slots and the backlog of 1.
func TestInFlightLimitIsSlotsPlusOne(t *testing.T) {
	g := oneTarget(2)
	for i := range 3 {
		id := fmt.Sprint(i)
		assert.Equal(t, kinds(g.Reserve(start, request(id, 0))), "grant:"+id+" ")
	}
	assert.Equal(t, kinds(g.Reserve(start, request("3", 0))), "queued:3 ")
	assert.Equal(t, len(g.InFlight("t0")), 3)
	assert.Equal(t, kinds(g.Release(start, done("0"))), "grant:3 ")
}

// Guards against lower-tier work that is dispatched while a higher tier waits.
func TestHigherTierGoesFirst(t *testing.T) {
	g := oneTarget(1)
	g.Reserve(start, request("a", 0))
	g.Reserve(start, request("b", 0))
	g.Reserve(start, request("low", 2))
	g.Reserve(start, request("mid", 1))
	g.Reserve(start, request("high", 0))
	assert.Equal(t, kinds(g.Release(start, done("a"))), "grant:high ")
	assert.Equal(t, kinds(g.Release(start, done("b"))), "grant:mid ")
	assert.Equal(t, kinds(g.Release(start, done("high"))), "grant:low ")
}

// Guards against requests that wait for ever without an answer.
func TestWaitingRequestIsRefusedAtItsDeadline(t *testing.T) {
	g := oneTarget(1)
	g.Reserve(start, request("a", 0))
	g.Reserve(start, request("b", 0))
	late := request("late", 1)
	late.Deadline = start.Add(5 * time.Second)
	g.Reserve(start, late)
	assert.Equal(t, kinds(g.Tick(start.Add(4*time.Second))), "")
	assert.Equal(t, kinds(g.Tick(start.Add(5*time.Second))), "refuse:late:expired ")
	assert.Equal(t, g.Load().LowestTier, 0)
}

// Guards against requests of a dead entry that hold slots or stay in the queue.
func TestEntryGoneFreesItsSlotsAndQueue(t *testing.T) {
	g := oneTarget(1)
	g.Reserve(start, request("a", 0))
	g.Reserve(start, request("b", 0))
	g.Reserve(start, request("c", 0))
	other := request("other", 1)
	other.Entry = "e2"
	g.Reserve(start, other)
	assert.Equal(t, kinds(g.EntryGone(start, "e1")), "grant:other ")
	assert.Equal(t, len(g.InFlight("t0")), 1)
}

// Guards against a new owner that exceeds the slots because it does not know the
// grants of the owner before it.
func TestResyncRegistersGrantsOfTheEarlierOwner(t *testing.T) {
	g := oneTarget(1)
	held := []Held{{Request: request("a", 0), Target: "t0"}, {Request: request("b", 0), Target: "t0"}}
	g.Resync(start, "e1", held)
	assert.Equal(t, kinds(g.Reserve(start, request("c", 0))), "queued:c ")
	later := start.Add(3 * time.Second)
	assert.Equal(t, kinds(g.Resync(later, "e1", held[:1])), "grant:c ")
}

// Guards against suspects that share a target: the loss of a target must convict
// at most one of them.
func TestSuspectsDoNotShareATarget(t *testing.T) {
	g := oneTarget(4)
	a, b := request("a", 0), request("b", 0)
	a.Suspect, b.Suspect = true, true
	assert.Equal(t, kinds(g.Reserve(start, a)), "grant:a ")
	assert.Equal(t, kinds(g.Reserve(start, b)), "queued:b ")
	assert.Equal(t, kinds(g.Reserve(start, request("c", 0))), "grant:c ")
	assert.Equal(t, kinds(g.Release(start, done("a"))), "grant:b ")
}

// Guards against preemption that is lost or that runs a request twice: the
// victim keeps its slot until its release, waits again and runs again.
func TestPreemptedRequestWaitsAgain(t *testing.T) {
	g := oneTarget(1)
	g.Reserve(start, request("low1", 2))
	g.Reserve(start, request("low2", 2))
	high := request("high", 0)
	assert.Equal(t, kinds(g.Reserve(start, high)), "queued:high ")
	now := start.Add(DefaultPreemptAfter)
	assert.Equal(t, kinds(g.Tick(now)), "preempt:low2 ")
	assert.Equal(t, kinds(g.Tick(now.Add(10*time.Millisecond))), "")
	report := Report{ID: "low2", Outcome: OutcomePreempted, OutputTokens: 10}
	assert.Equal(t, kinds(g.Release(now, report)), "queued:low2 grant:high ")
	assert.Equal(t, kinds(g.Release(now, done("low1"))), "grant:low2 ")
}

// Guards against new work on a target that leaves, fails or was ejected.
func TestOnlyUpTargetsGetWork(t *testing.T) {
	for _, state := range []TargetState{Down, Leaving, Ejected} {
		g := oneTarget(1)
		g.Reserve(start, request("a", 0))
		g.Reserve(start, request("b", 0))
		g.Reserve(start, request("c", 0))
		assert.Equal(t, kinds(g.SetTargetState(start, "t0", state)), "refuse:c:no-target ")
		assert.Equal(t, kinds(g.Release(start, done("a"))), "")
		assert.Equal(t, kinds(g.Reserve(start, request("d", 0))), "refuse:d:no-target ")
		assert.Equal(t, kinds(g.SetTargetState(start, "t0", Up)), "")
		assert.Equal(t, kinds(g.Reserve(start, request("e", 0))), "grant:e ")
	}
}
