package owner

import "time"

// prefillChunkTokens is the number of prompt tokens that engines prefill between two
// decode steps of the running streams.
const prefillChunkTokens = 1024

// timeToObjective returns the time until the objective of a request is missed: 0
// without an objective, and 1 ns when it has been missed already.
func timeToObjective(now time.Time, r *Request) time.Duration {
	if r.ObjectiveBy.IsZero() {
		return 0
	}
	return max(r.ObjectiveBy.Sub(now), 1)
}

const (
	// unknownSpeedFactor multiplies predicted times on targets without observations:
	// the slowest targets are about four times as slow as the usual ones.
	unknownSpeedFactor = 4
	// maxProbePromptTokens is the longest prompt that is sent to a target of unknown
	// prefill rate as if the target had the usual speed, so that its rate is observed.
	maxProbePromptTokens = 2048
)

// conservativeFirstToken multiplies the predicted time to the first token by
// unknownSpeedFactor for a long prompt on a target of unknown prefill rate. Slow
// targets get few requests, so the rate of one may still be unknown when a very long
// prompt arrives, and the target would look fast.
func (g *Group) conservativeFirstToken(r *Request, t *target, firstToken time.Duration) time.Duration {
	if r.PromptTokens <= maxProbePromptTokens || g.options.Model.PrefillObserved(r.Version, t.info.Hardware) {
		return firstToken
	}
	return unknownSpeedFactor * firstToken
}

const (
	// streamStartOverhead is the fixed time that engines take between the prefill and
	// the first decode step.
	streamStartOverhead = 5 * time.Millisecond
	// minStreamPrefillTokens is the shortest prefill from which the prefill rate of a
	// target is estimated by the first event of a stream. Below it, the decode steps
	// of that event take as long as the prefill.
	minStreamPrefillTokens = 1000
)

// minPrefillForRate returns the shortest prefill, in tokens, from which the prefill
// rate is estimated by a request like r; 0 means the default of package estimate.
func minPrefillForRate(r *Request) int {
	if r.EventTokens == 0 {
		return 0
	}
	return minStreamPrefillTokens
}

// prefillDuration returns the prefill part of the time to the first event of a job.
// The rest are the decode steps of all tokens of that event and streamStartOverhead;
// at least an eighth counts as prefill.
func (g *Group) prefillDuration(j *job, toFirstEvent time.Duration) time.Duration {
	r := &j.request
	if r.EventTokens == 0 || toFirstEvent == 0 {
		return toFirstEvent
	}
	steps := time.Duration(r.EventTokens) * g.options.Model.TokenTime(r.Version, j.target.info.Hardware, j.batchAtGrant)
	return max(toFirstEvent-steps-streamStartOverhead, toFirstEvent/8)
}

// delaysStreams reports whether the prefill of a request would make the pauses
// between the events of the streams on a target longer than MaxGap. These streams are
// taken to have the MaxGap and EventTokens of the request. Engines prefill a prompt in
// chunks between the decode steps of the running streams, so an event of several
// steps waits for as many chunks.
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

// hasImmediateTarget reports whether a target with a free slot can serve a request
// within its objective and without delaying the streams on it. The queue need not be
// checked, since a waiting request that a free slot suits would have been granted it
// already.
func (g *Group) hasImmediateTarget(now time.Time, j *job) bool {
	for _, t := range g.targets {
		if t.bit&j.item.Class.Suitable == 0 || !t.hasCapacity(0) || !t.permits(now) || !t.fits(t.kvTokensFor(&j.request)) {
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

// setFirstTokenBound makes the objective of a request its FirstTokenBy, which is
// otherwise the time at which the caller gives up. In an overload the request is then
// refused once it cannot meet its objective any more: its caller can retry when the
// queue is shorter, and requests that can still be in time go first. A request that
// no target could serve in time even without waiting keeps its later bound.
func (g *Group) setFirstTokenBound(now time.Time, j *job) {
	objectiveBy := j.request.ObjectiveBy
	if objectiveBy.IsZero() || j.request.Plain || j.request.Accepted {
		return
	}
	for _, t := range g.targets {
		if t.bit&j.item.Class.Suitable == 0 {
			continue
		}
		p := g.options.Model.Predict(g.prefillOn(now, &j.request, t))
		if !now.Add(p.FirstToken).After(objectiveBy) {
			j.request.FirstTokenBy = objectiveBy
			return
		}
	}
}
