package naive

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/owner"
)

// Guards against a baseline that is better or worse than it claims: first come,
// first served whatever the tier, round robin, at most Slots on a target, and a
// refusal only at the deadline.
func TestNaiveIsFirstComeFirstServedRoundRobin(t *testing.T) {
	start := time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC)
	g := NewGroup()
	g.SetTargets(start, []owner.TargetInfo{{Name: "a", Slots: 2}, {Name: "b", Slots: 2}})
	for i, want := range []string{"a", "b", "a", "b"} {
		d := g.Reserve(start, owner.Request{ID: fmt.Sprint(i), Tier: 2, Deadline: start.Add(time.Minute)})
		assert.Equal(t, len(d), 1)
		assert.Equal(t, d[0].Target, want)
	}
	for i := range 2 {
		d := g.Reserve(start, owner.Request{ID: fmt.Sprint(4 + i), Tier: 1 - i, Deadline: start.Add(time.Minute)})
		assert.Equal(t, d[0].Kind, owner.Queued)
	}
	d := g.Release(start, owner.Report{ID: "2", Outcome: owner.OutcomeDone})
	assert.Equal(t, len(d), 1)
	assert.Equal(t, d[0].ID, "4")
	d = g.Tick(start.Add(time.Minute))
	assert.Equal(t, len(d), 1)
	assert.Equal(t, d[0].Reason, owner.ReasonExpired)
}
