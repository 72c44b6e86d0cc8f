package rolloutcompare

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/rollout"
)

// Guards against decisions that got worse on one move of each kind. The figures
// that docs/decisions/moves.md states come from many more moves.
func TestOneMoveOfEachKind(t *testing.T) {
	systems := Run(Options{Moves: 12, Workers: 4})
	ours, naive := systems[0].Results, systems[1].Results
	bad := func(r *Result) bool { return r.Kind != Good }
	for i := range ours {
		r := &ours[i]
		if bad(r) {
			assert.Equal(t, r.Phase, rollout.Reversed, "seed %d, %s", r.Seed, r.Kind)
		} else {
			assert.Assert(t, r.InTime, "seed %d: %s", r.Seed, r.Reason)
		}
	}
	sum := Summarize("bad", ours, bad)
	assert.Equal(t, Under(sum.Hurt, 0.01), 1.0)
	assert.Assert(t, Quantile(sum.ToZero, 0.5) < 2*time.Second)
	assert.Assert(t, Summarize("bad", naive, bad).Reversed < sum.Reversed)
	var out strings.Builder
	assert.NilError(t, Print(&out, systems))
	assert.Equal(t, strings.Count(out.String(), "\n"), 1+2*len(Groups(ours)))
}
