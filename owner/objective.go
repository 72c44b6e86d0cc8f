package owner

import "time"

// prefillChunkTokens is the number of prompt tokens that engines read between two steps
// of the running streams.
const prefillChunkTokens = 1024

// timeToObjective is the time left until a request is late; 0 without an objective.
func timeToObjective(now time.Time, r *Request) time.Duration {
	if r.ObjectiveBy.IsZero() {
		return 0
	}
	return max(r.ObjectiveBy.Sub(now), 1)
}

const (
	// unknownSpeedFactor stretches predictions for targets that have shown nothing yet:
	// the slowest are about four times as slow as the usual ones.
	unknownSpeedFactor = 4
	// maxProbePromptTokens is the longest prompt by which a target may show its speed.
	maxProbePromptTokens = 2048
)

// conservativeFirstToken stretches the predicted first token of a long prompt on a target whose
// speed is not known yet. Slow targets are used little, so that one of them could
// still look fast when the longest prompt of the day arrives.
func (g *Group) conservativeFirstToken(r *Request, t *target, firstToken time.Duration) time.Duration {
	if r.PromptTokens <= maxProbePromptTokens || g.options.Model.PrefillKnown(r.Version, t.info.Hardware) {
		return firstToken
	}
	return unknownSpeedFactor * firstToken
}

const (
	// streamStartOverhead is the fixed time of engines between prefill and first step.
	streamStartOverhead = 5 * time.Millisecond
	// minStreamPrefillTokens is the shortest prompt by which the prefill rate of a target is
	// learned from the first event of a stream; below it, the steps of that event
	// take as long as the prefill.
	minStreamPrefillTokens = 1000
)

// minPrefillForRate is the least prefill of a request that tells the rate; 0 is the default.
func minPrefillForRate(r *Request) int {
	if r.EventTokens == 0 {
		return 0
	}
	return minStreamPrefillTokens
}

// prefillDuration is the part of the time to a first event that was prefill: the event
// takes the steps of all its tokens.
func (g *Group) prefillDuration(j *job, toFirstEvent time.Duration) time.Duration {
	r := &j.request
	if r.EventTokens == 0 || toFirstEvent == 0 {
		return toFirstEvent
	}
	steps := time.Duration(r.EventTokens) * g.options.Model.TokenTime(r.Version, j.target.info.Hardware, j.batchAtGrant)
	return max(toFirstEvent-steps-streamStartOverhead, toFirstEvent/8)
}

// delaysStreams reports whether the prefill of a request would stretch the pauses of the
// streams that run on a target beyond their bound. Engines read a prompt in chunks
// between the steps of the running streams, so an event that takes several steps
// waits for as many chunks.
func (g *Group) delaysStreams(r *Request, t *target, cached int) bool {
	if r.MaxGap == 0 || r.EventTokens == 0 || r.Plain || len(t.running) == 0 {
		return false
	}
	chunkCount := (max(r.PromptTokens-cached, 0) + prefillChunkTokens - 1) / prefillChunkTokens
	stepTime := g.options.Model.TokenTime(r.Version, t.info.Hardware, len(t.running)+1)
	chunkTime := g.options.Model.PrefillTime(r.Version, t.info.Hardware, min(prefillChunkTokens, r.PromptTokens))
	pause := time.Duration(r.EventTokens)*stepTime + time.Duration(min(chunkCount, r.EventTokens))*chunkTime
	return pause > r.MaxGap
}

// hasImmediateTarget reports whether a target with a free slot serves a request in time and
// without disturbing others. A waiting request that a free slot suits has it already.
func (g *Group) hasImmediateTarget(now time.Time, j *job) bool {
	for _, t := range g.targets {
		if t.bit&j.item.Class.Targets == 0 || !t.hasCapacity(0) || !t.fits(t.kvTokensFor(&j.request)) {
			continue
		}
		if j.request.Suspect && t.suspects > 0 {
			continue
		}
		if j.request.Plain {
			return true
		}
		p := g.predictOn(now, &j.request, t)
		firstToken := g.conservativeFirstToken(&j.request, t, p.firstToken)
		late := !j.request.ObjectiveBy.IsZero() && now.Add(firstToken).After(j.request.ObjectiveBy)
		if !late && !g.delaysStreams(&j.request, t, p.cachedTokens) {
			return true
		}
	}
	return false
}

// setFirstTokenBound has a request refused when it can no longer be in time while
// others wait, instead of when its caller leaves: it is told to come back when the
// queue is shorter, and what can still be in time goes first. A request that would
// be late on an idle target as well keeps its later bound.
func (g *Group) setFirstTokenBound(now time.Time, j *job) {
	objectiveBy := j.request.ObjectiveBy
	if objectiveBy.IsZero() || j.request.Plain || j.request.Accepted {
		return
	}
	for _, t := range g.targets {
		if t.bit&j.item.Class.Targets == 0 {
			continue
		}
		p := g.options.Model.Predict(g.prefillOn(now, &j.request, t))
		if !now.Add(p.FirstToken).After(objectiveBy) {
			j.request.FirstTokenBy = objectiveBy
			return
		}
	}
}
