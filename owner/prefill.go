package owner

import (
	"cmp"
	"slices"
	"time"

	"github.com/marjoramflow/marjoramflow/estimate"
)

// replanPrefills renews the plans of the targets that still seem to read prompts and where a
// request ended in this call.
func (g *Group) replanPrefills(now time.Time) {
	for _, t := range g.targets {
		if t.needsReplan && t.prefillEnd.After(now) {
			g.replanPrefill(t)
		}
		t.needsReplan = false
	}
}

// replanPrefill predicts anew when a target has read the prompts of the requests in
// flight there, after one of them ended. Prompts are read in the order of arrival.
//
// It answers targets that just joined: their first requests are planned with the
// speed of others, and a wrong plan must not keep the target idle for longer than
// these requests run.
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
