package owner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a grant rate that still counts a burst of more than a second ago, or
// that is computed from a single grant.
func TestGrantRateCountsTheLastSecond(t *testing.T) {
	now := time.Unix(1000, 0)
	var r grantRate
	r.recordGrant(now, 0)
	_, _, known := r.perSecond(now, 0)
	assert.Assert(t, !known)
	for i := range 19 {
		r.recordGrant(now.Add(time.Duration(i)*25*time.Millisecond), 0)
	}
	rate, _, known := r.perSecond(now.Add(600*time.Millisecond), 0)
	assert.Assert(t, known)
	assert.Equal(t, rate, 20.0)
	_, _, known = r.perSecond(now.Add(3*time.Second), 0)
	assert.Assert(t, !known)
}

// Guards against requests in an overload that wait until they are late before they
// are refused with a retry-after time (load pattern: a burst of twice the capacity).
func TestRequestThatWouldBeLateIsRefusedOnArrival(t *testing.T) {
	now := time.Unix(1000, 0)
	g := NewGroup("s", 0, Options{Backlog: -1})
	g.SetTargets(now, []TargetInfo{{Name: "t", Slots: 1}})
	request := func(id string, objective time.Duration) Request {
		return Request{
			ID: id, Entry: "e", Account: "a", PromptTokens: 100, OutputTokens: 10, Deadline: now.Add(10 * time.Second),
			FirstTokenBy: now.Add(2 * time.Second), ObjectiveBy: now.Add(objective), MaxGap: time.Second, EventTokens: 6,
		}
	}
	kind := func(r Request) DecisionKind {
		for _, d := range g.Reserve(now, r) {
			if d.ID == r.ID {
				return d.Kind
			}
		}
		t.Fatal("no decision")
		return 0
	}
	// The group grants ten requests a second.
	for i := range 10 {
		id := string(rune('a' + i))
		assert.Equal(t, kind(request(id, time.Second)), Grant)
		now = now.Add(100 * time.Millisecond)
		g.Release(now, Report{ID: id, Outcome: OutcomeDone})
	}
	assert.Equal(t, kind(request("runs", time.Second)), Grant)
	for i := range 5 {
		assert.Equal(t, kind(request(string(rune('A'+i)), 800*time.Millisecond)), Queued)
	}
	assert.Equal(t, kind(request("late", 400*time.Millisecond)), Refuse)
	assert.Equal(t, kind(request("patient", 1200*time.Millisecond)), Queued)
}
