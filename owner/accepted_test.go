package owner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against shedding a request whose caller has received a part of the
// answer: after a preemption it waits until its final deadline.
func TestPreemptedRequestIsNotShed(t *testing.T) {
	g := oneTargetGroup(1)
	low := request("low", 2)
	low.Deadline = start.Add(5 * time.Second)
	low.FinalDeadline = start.Add(20 * time.Second)
	assert.Equal(t, summarize(g.Reserve(start, low)), "grant:low ")
	g.Reserve(start, request("a", 0))
	high := request("high", 0)
	high.MayPreempt = true
	g.Reserve(start, high)
	assert.Equal(t, summarize(g.Tick(start.Add(1100*time.Millisecond))), "preempt:low ")
	preempted := Report{ID: "low", Outcome: OutcomePreempted, PromptTokens: 100, OutputTokens: 10}
	assert.Equal(t, summarize(g.Release(start.Add(1200*time.Millisecond), preempted)), "queued:low grant:high ")
	assert.Equal(t, summarize(g.Tick(start.Add(6*time.Second))), "")
	assert.Equal(t, summarize(g.Tick(start.Add(20*time.Second))), "refuse:low:expired ")
}

// Guards against early refusal of a request that moves to a new owner after it
// has run.
func TestAcceptedRequestIsNotRefusedEarly(t *testing.T) {
	g := NewGroup("assistant", 0, Options{MaxWaiting: 1})
	g.SetTargets(start, []TargetInfo{{Name: "t0", Hardware: "h1", Slots: 1, KVTokens: 100_000}})
	g.Reserve(start, request("a", 0))
	g.Reserve(start, request("b", 0))
	g.Reserve(start, request("c", 0))
	fresh := request("fresh", 2)
	assert.Equal(t, summarize(g.Reserve(start, fresh)), "refuse:fresh:capacity ")
	accepted := request("accepted", 2)
	accepted.Accepted = true
	assert.Equal(t, summarize(g.Reserve(start, accepted)), "queued:accepted ")
}
