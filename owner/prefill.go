package owner

import (
	"cmp"
	"slices"
	"time"

	"github.com/marjoramflow/marjoramflow/estimate"
)

// replanPrefills predicts the end of the prefill anew on the targets where a request
// ended in this call while prefill was still expected.
func (g *Group) replanPrefills(now time.Time) {
	for _, t := range g.targets {
		if t.needsReplan && t.prefillEnd.After(now) {
			g.replanPrefill(t)
		}
		t.needsReplan = false
	}
}

// replanPrefill recomputes prefillEnd of a target from the requests in flight there,
// after one of them has ended. Prompts are prefilled one after another in the order
// of the grants.
//
// This matters for targets that just joined: the prefill of their first requests is
// predicted with the speed of other targets, and a wrong prediction must not keep the
// target idle after these requests have ended.
func (g *Group) replanPrefill(t *target) {
	prefillJobs := g.prefillJobs[:0]
	for _, j := range t.running {
		if !j.request.Plain {
			prefillJobs = append(prefillJobs, j)
		}
	}
	slices.SortFunc(prefillJobs, func(a, b *job) int {
		return cmp.Or(a.granted.Compare(b.granted), cmp.Compare(a.request.ID, b.request.ID))
	})
	t.prefillEnd = time.Time{}
	for _, j := range prefillJobs {
		start := j.granted
		if j.inBacklog {
			start = j.prefillStart
		}
		if t.prefillEnd.After(start) {
			start = t.prefillEnd
		}
		t.prefillEnd = start.Add(g.options.Model.Predict(estimate.Job{
			Version:       j.request.Version,
			Hardware:      t.info.Hardware,
			PrefillTokens: max(j.request.PromptTokens-j.cachedTokens, 0),
			Batch:         1,
		}).FirstToken)
	}
	clear(prefillJobs)
	g.prefillJobs = prefillJobs[:0]
}
