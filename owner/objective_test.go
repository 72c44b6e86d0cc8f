package owner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/balancer"
	"github.com/marjoramflow/marjoramflow/estimate"
)

// Guards against very long prompts on targets of unknown speed: a slow target would
// prefill them for longer than their callers wait. On days without overload, these
// were the worst-served tenth of the long requests.
func TestLongPromptAvoidsATargetOfUnknownSpeed(t *testing.T) {
	now := time.Unix(1000, 0)
	model := estimate.New()
	for range 20 {
		model.Observe(estimate.Observation{
			Job:        estimate.Job{Version: "v", Hardware: "known", PrefillTokens: 1000, OutputTokens: 60, Batch: 1},
			FirstToken: 250 * time.Millisecond, Duration: 600 * time.Millisecond,
		})
	}
	g := NewGroup("s", 0, Options{Model: model, Backlog: -1, Picker: balancer.FewestLate{}.Build(0)})
	g.SetTargets(now, []TargetInfo{
		{Name: "unknown", Hardware: "unknown", Slots: 4, Versions: []string{"v"}},
		{Name: "known", Hardware: "known", Slots: 4, Versions: []string{"v"}},
	})
	grantedTarget := func(id string, promptTokens int) string {
		for _, d := range g.Reserve(now, Request{
			ID: id, Entry: "e", Version: "v", PromptTokens: promptTokens, OutputTokens: 10, Deadline: now.Add(time.Minute),
			ObjectiveBy: now.Add(10 * time.Second), MaxGap: time.Second, EventTokens: 6, Immediate: true,
		}) {
			if d.ID == id && d.Kind == Grant {
				return d.Target
			}
		}
		return ""
	}
	assert.Equal(t, grantedTarget("long", 30000), "known")
	assert.Equal(t, grantedTarget("short", 500), "unknown")
}

// Guards against a slow target that looks faster than the fast ones because it was
// observed with long prompts and they with short ones: most of the time to the first
// event of a short prompt is not prefill.
func TestPrefillRateIsNotLearnedFromShortPrompts(t *testing.T) {
	now := time.Unix(1000, 0)
	g := NewGroup("s", 0, Options{Backlog: -1, Picker: balancer.FewestLate{}.Build(0)})
	g.SetTargets(now, []TargetInfo{{Name: "fast", Hardware: "fast", Slots: 4}, {Name: "slow", Hardware: "slow", Slots: 4}})
	serve := func(id, target string, promptTokens int, firstToken, duration time.Duration) {
		r := Request{ID: id, Entry: "e", Target: target, PromptTokens: promptTokens, OutputTokens: 60, Deadline: now.Add(time.Minute), MaxGap: time.Second, EventTokens: 6}
		assert.Equal(t, g.Reserve(now, r)[0].Target, target)
		now = now.Add(duration)
		g.Release(now, Report{ID: id, Target: target, Outcome: OutcomeDone, PromptTokens: promptTokens, OutputTokens: 60, FirstToken: firstToken, Duration: duration})
	}
	ms := time.Millisecond
	for i := range 12 {
		n := string(rune('a' + i))
		serve("f"+n, "fast", 600, 25*ms, 150*ms)
	}
	serve("f-long", "fast", 2000, 42*ms, 170*ms)
	for i := range 3 {
		serve("s"+string(rune('a'+i)), "slow", 20000, 760*ms, 1600*ms)
	}
	for i := range 12 {
		serve("g"+string(rune('a'+i)), "fast", 600, 25*ms, 150*ms)
	}
	decisions := g.Reserve(now, Request{ID: "long", Entry: "e", PromptTokens: 30000, OutputTokens: 60, Deadline: now.Add(time.Minute), ObjectiveBy: now.Add(800 * ms), MaxGap: time.Second, EventTokens: 6})
	assert.Equal(t, decisions[0].Target, "fast")
}
