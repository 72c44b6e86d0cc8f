package owner

import "time"

// prefillChunk is the number of prompt tokens that engines read between two steps
// of the running streams.
const prefillChunk = 1024

// due is the time left until a request is late; 0 without an objective.
func due(now time.Time, r *Request) time.Duration {
	if r.ObjectiveBy.IsZero() {
		return 0
	}
	return max(r.ObjectiveBy.Sub(now), 1)
}

const (
	// unprovenFactor stretches predictions for targets that have shown nothing yet:
	// the slowest are about four times as slow as the usual ones.
	unprovenFactor = 4
	// provingTokens is the longest prompt by which a target may show its speed.
	provingTokens = 2048
)

// cautious stretches the predicted first token of a long prompt on a target whose
// speed is not known yet. Slow targets are used little, so that one of them could
// still look fast when the longest prompt of the day arrives.
func (g *Group) cautious(r *Request, t *target, first time.Duration) time.Duration {
	if r.PromptTokens <= provingTokens || g.options.Model.PrefillKnown(r.Version, t.info.Hardware) {
		return first
	}
	return unprovenFactor * first
}

const (
	// streamStart is the fixed time of engines between prefill and first step.
	streamStart = 5 * time.Millisecond
	// minStreamPrefill is the shortest prompt by which the prefill rate of a target is
	// learned from the first event of a stream; below it, the steps of that event
	// take as long as the prefill.
	minStreamPrefill = 1000
)

// minPrefill is the least prefill of a request that tells the rate; 0 is the default.
func minPrefill(r *Request) int {
	if r.EventTokens == 0 {
		return 0
	}
	return minStreamPrefill
}

// prefillPart is the part of the time to a first event that was prefill: the event
// takes the steps of all its tokens.
func (g *Group) prefillPart(j *job, first time.Duration) time.Duration {
	r := &j.request
	if r.EventTokens == 0 || first == 0 {
		return first
	}
	steps := time.Duration(r.EventTokens) * g.options.Model.TokenTime(r.Version, j.target.info.Hardware, j.batch)
	return max(first-steps-streamStart, first/8)
}

// disturbs reports whether the prefill of a request would stretch the pauses of the
// streams that run on a target beyond their bound. Engines read a prompt in chunks
// between the steps of the running streams, so an event that takes several steps
// waits for as many chunks.
func (g *Group) disturbs(r *Request, t *target, cached int) bool {
	if r.MaxGap == 0 || r.EventTokens == 0 || r.Plain || len(t.running) == 0 {
		return false
	}
	chunks := (max(r.PromptTokens-cached, 0) + prefillChunk - 1) / prefillChunk
	step := g.options.Model.TokenTime(r.Version, t.info.Hardware, len(t.running)+1)
	chunk := g.options.Model.PrefillTime(r.Version, t.info.Hardware, min(prefillChunk, r.PromptTokens))
	pause := time.Duration(r.EventTokens)*step + time.Duration(min(chunks, r.EventTokens))*chunk
	return pause > r.MaxGap
}

// hasTimely reports whether a target with a free slot serves a request in time and
// without disturbing others. A waiting request that a free slot suits has it already.
func (g *Group) hasTimely(now time.Time, j *job) bool {
	for _, t := range g.targets {
		if t.bit&j.item.Class.Targets == 0 || !t.hasPlace(0) || !t.fits(t.need(&j.request)) {
			continue
		}
		if j.request.Suspect && t.suspects > 0 {
			continue
		}
		if j.request.Plain {
			return true
		}
		p := g.predictOn(now, &j.request, t)
		first := g.cautious(&j.request, t, p.firstToken)
		late := !j.request.ObjectiveBy.IsZero() && now.Add(first).After(j.request.ObjectiveBy)
		if !late && !g.disturbs(&j.request, t, p.cached) {
			return true
		}
	}
	return false
}

// boundByObjective has a request refused when it can no longer be in time while
// others wait, instead of when its caller leaves: it is told to come back when the
// queue is shorter, and what can still be in time goes first. A request that would
// be late on an idle target as well keeps its later bound.
func (g *Group) boundByObjective(now time.Time, j *job) {
	by := j.request.ObjectiveBy
	if by.IsZero() || j.request.Plain || j.request.Accepted {
		return
	}
	for _, t := range g.targets {
		if t.bit&j.item.Class.Targets == 0 {
			continue
		}
		p := g.options.Model.Predict(g.prefillOn(now, &j.request, t))
		if !now.Add(p.FirstToken).After(by) {
			j.request.FirstTokenBy = by
			return
		}
	}
}
