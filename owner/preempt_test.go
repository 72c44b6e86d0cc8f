package owner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/estimate"
)

// trainModel has a model observe requests of one size on one hardware generation, so
// that its estimates are confident.
func trainModel(model *estimate.Model, hardware string, promptTokens, outputTokens int, firstToken, duration time.Duration) {
	for range 20 {
		model.Observe(estimate.Observation{
			Job:        estimate.Job{Version: "v", Hardware: hardware, PrefillTokens: promptTokens, OutputTokens: outputTokens, Batch: 1},
			FirstToken: firstToken, Duration: duration,
		})
		model.ObserveSpread("v", hardware, duration, 2*duration)
	}
}

// Guards against a request that expires while lower-tier work runs on a target where
// it may still end in time (promise R2; found by TestRandomCallsKeepTheRules): victims
// were looked for only on the targets where it ends in time almost certainly, and
// these had none.
func TestPreemptsWhereARequestMightEndInTime(t *testing.T) {
	now := time.Unix(1000, 0)
	model := estimate.New()
	// Most requests end within 100 ms on the known target, nearly all within 200 ms.
	trainModel(model, "known", 100, 100, 10*time.Millisecond, 100*time.Millisecond)
	g := NewGroup("s", 0, Options{Model: model, Backlog: -1})
	g.SetTargets(now, []TargetInfo{
		{Name: "unknown", Hardware: "unknown", Slots: 1, Versions: []string{"v"}},
		{Name: "known", Hardware: "known", Slots: 1, Versions: []string{"v"}},
	})
	g.SetTargetState(now, "known", TargetDown)
	newRequest := func(id string, tier int, deadline time.Time) Request {
		return Request{ID: id, Entry: "e", Version: "v", Tier: tier, PromptTokens: 100, OutputTokens: 100, Deadline: deadline, Preemptible: true}
	}
	g.Reserve(now, newRequest("same", 0, now.Add(time.Minute)))
	deadline := now.Add(time.Second)
	g.Reserve(now, newRequest("urgent", 0, deadline))
	assert.Assert(t, g.jobs["urgent"].item.Waiting())
	// The known target is up again and runs work of a lower tier.
	now = deadline.Add(-190 * time.Millisecond)
	g.Resync(now, "other", []HeldGrant{{Request: newRequest("lower", 2, now.Add(time.Minute)), Target: "known"}})
	decisions := g.SetTargetState(now, "known", TargetUp)
	for range 6 {
		now = now.Add(20 * time.Millisecond)
		decisions = append(decisions, g.Tick(now)...)
	}
	preempted := false
	for _, d := range decisions {
		preempted = preempted || (d.Kind == Preempt && d.ID == "lower")
	}
	assert.Assert(t, preempted, "lower-tier work was not preempted")
}
