package owner

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/balancer"
	"github.com/marjoramflow/marjoramflow/estimate"
)

// groupWithJoinedTarget returns a group with a target of one slot, whose hardware a
// test may train, and a target of another hardware that has just joined.
func groupWithJoinedTarget(now time.Time, model *estimate.Model) *Group {
	g := NewGroup("s", 0, Options{Model: model, Backlog: -1, Picker: balancer.FewestLate{}.Build(0)})
	g.SetTargets(now, []TargetInfo{
		{Name: "known", Hardware: "known", Slots: 1, Versions: []string{"v"}},
		{Name: "joined", Hardware: "joined", Slots: 8, Versions: []string{"v"}},
	})
	return g
}

// streamRequest returns a stream request with an objective of 400 ms.
func streamRequest(now time.Time, id string, promptTokens int) Request {
	return Request{ID: id, Entry: "e", Version: "v", PromptTokens: promptTokens, OutputTokens: 60, Deadline: now.Add(time.Minute),
		FirstTokenBy: now.Add(2 * time.Second), ObjectiveBy: now.Add(400 * time.Millisecond), MaxGap: 250 * time.Millisecond, EventTokens: 6}
}

// Guards against targets that just joined and stay idle for seconds in an overload:
// the prefill of their first requests was predicted with a default speed, and the
// prediction was kept after these requests had ended (seen after releases of targets
// under load).
func TestJoinedTargetIsUsableOnceItsRequestsEnded(t *testing.T) {
	now := time.Unix(1000, 0)
	g := groupWithJoinedTarget(now, estimate.NewWithTypicalDefaults())
	for i := range 8 {
		r := streamRequest(now, fmt.Sprint("first", i), 4000)
		r.Target = "joined"
		g.Reserve(now, r)
		assert.Assert(t, g.jobs[r.ID] != nil && g.jobs[r.ID].target != nil)
	}
	now = now.Add(300 * time.Millisecond)
	for i := range 8 {
		g.Release(now, Report{ID: fmt.Sprint("first", i), Target: "joined", Outcome: OutcomeFailed})
	}
	r := streamRequest(now, "next", 1000)
	r.Immediate, r.Target = true, "joined"
	assert.Equal(t, g.Reserve(now, r)[0].Kind, Grant)
}

// Guards against a target that joins in an overload and whose times are predicted with
// the defaults, which differ widely from the other engines of its version.
func TestJoinedTargetIsPlannedLikeTheOthersOfItsVersion(t *testing.T) {
	now := time.Unix(1000, 0)
	model := estimate.NewWithTypicalDefaults()
	trainModel(model, "known", 4000, 60, 60*time.Millisecond, 300*time.Millisecond)
	g := groupWithJoinedTarget(now, model)
	granted := 0
	for i := range 8 {
		r := streamRequest(now, fmt.Sprint("r", i), 2000)
		r.Immediate = true
		if d := g.Reserve(now, r); d[0].Kind == Grant {
			granted++
		}
	}
	// 8 prompts of 2,000 tokens take 240 ms on an engine like the known one.
	assert.Equal(t, granted, 8)
}

// Guards against a predicted prefill end that includes the decode steps of the first
// event: the engine prefills the next prompt before that event is complete.
func TestPrefillEndExcludesDecodeStepsOfFirstEvent(t *testing.T) {
	now := time.Unix(1000, 0)
	model := estimate.NewWithTypicalDefaults()
	trainModel(model, "known", 4000, 60, 60*time.Millisecond, 300*time.Millisecond)
	g := groupWithJoinedTarget(now, model)
	r := streamRequest(now, "first", 1000)
	r.Target = "known"
	g.Reserve(now, r)
	prefill := model.PrefillTime("v", "known", 1000)
	assert.Equal(t, g.byName["known"].prefillEnd.Sub(now), prefill)
}
