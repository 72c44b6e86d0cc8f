package owner

import (
	"time"

	"github.com/marjoramflow/marjoramflow/admission"
	"github.com/marjoramflow/marjoramflow/balancer"
	"github.com/marjoramflow/marjoramflow/estimate"
)

const (
	// maxDeferred bounds the requests that one dispatch round defers because they
	// do not fit on any target with a free slot.
	maxDeferred = 4
	// maxDeferrals is the number of times that a request may be deferred before the
	// free targets that it can use are kept free for it.
	maxDeferrals = 32
)

// candidates are the targets on which one request fits now. The slices have the
// same length and order.
type candidates struct {
	targets     []*target
	views       []balancer.Target
	predictions []prediction
}

// prediction is the expected course of a request on one target; the times count
// from now.
type prediction struct {
	prefillStart, prefillEnd, firstToken, finish time.Duration
	cachedTokens, tokensAhead                    int
}

// dispatch grants waiting requests in queue order while targets have room. A
// request that fits on no free target is deferred until the end of the round, and
// the free targets that it can use are withheld from lower tiers. Beyond maxDeferred or
// maxDeferrals it stays in the queue, and these targets get no more work in the round.
func (g *Group) dispatch(now time.Time) {
	withheld := admission.WithheldTargets{Tier: MaxTier}
	var deferred []*job
	blocked := uint64(0)
	for {
		free, exclusive := g.freeTargets(now)
		item, usable := g.queue.Next(free&^blocked, exclusive, withheld)
		if item == nil {
			break
		}
		j := item.Value
		if preemptor, preemptorTargets := g.nextPreemptor(item.Tier, withheld.Allowed(item.Tier, free&^blocked), exclusive); preemptor != nil {
			j, usable = preemptor, preemptorTargets
		}
		if g.grant(now, j, usable) {
			continue
		}
		if len(deferred) == maxDeferred || j.deferrals >= maxDeferrals {
			blocked |= usable
			continue
		}
		withheld.Targets |= j.item.Class.Possible & free
		withheld.Tier = min(withheld.Tier, j.item.Tier)
		deferred = append(deferred, j)
		g.deferJob(j)
	}
	for _, j := range deferred {
		j.deferred = false
		g.queue.Add(&j.item)
	}
}

// deferJob takes a request out of the queue until the end of the dispatch round.
func (g *Group) deferJob(j *job) {
	j.deferrals++
	j.deferred = true
	g.queue.Remove(&j.item)
}

// freeTargets returns the targets that may get one more request, and those of them
// that run no suspect.
func (g *Group) freeTargets(now time.Time) (free, exclusive uint64) {
	for _, t := range g.targets {
		if !t.hasCapacity(g.options.Backlog) || !t.permits(now) {
			continue
		}
		free |= t.bit
		if t.suspects == 0 {
			exclusive |= t.bit
		}
	}
	return free, exclusive
}

// grant dispatches a waiting request to the best of the usable targets that it
// fits on, or refuses it when its first token would be late on each target that
// the request can use. It returns false when the request has to wait.
func (g *Group) grant(now time.Time, j *job, usable uint64) bool {
	c := &g.candidates
	c.targets, c.views, c.predictions = c.targets[:0], c.views[:0], c.predictions[:0]
	for _, t := range g.targets {
		if t.bit&usable == 0 || !t.fits(t.kvTokensFor(&j.request)) {
			continue
		}
		p := g.predictOn(now, &j.request, t)
		c.targets = append(c.targets, t)
		c.predictions = append(c.predictions, p)
		c.views = append(c.views, balancer.Target{
			Slots:           t.info.Slots,
			InFlight:        len(t.running),
			ReportedLoad:    t.reported,
			Finish:          p.finish,
			CachedTokens:    p.cachedTokens,
			FirstToken:      g.conservativeFirstToken(&j.request, t, p.firstToken),
			FirstTokenLimit: timeToObjective(now, &j.request),
			FinishLimit:     j.request.Deadline.Sub(now),
			DelaysStreams:   g.delaysStreams(&j.request, t, p.cachedTokens),
		})
	}
	if len(c.targets) == 0 {
		return false
	}
	if !g.dropLateCandidates(now, j) {
		return g.refuseIfLateEverywhere(now, j)
	}
	g.preferWarm(now)
	t := c.targets[g.options.Picker.Pick(c.views)]
	t.recordGrant(now)
	g.observeWait(now, j)
	g.queue.Dequeue(&j.item)
	g.grantRate.recordGrant(now, j.request.Tier)
	if j.request.Remote {
		g.remoteRate.recordGrant(now, j.request.Tier)
	}
	g.placeOn(now, j, t)
	g.addDecision(Grant, j, Decision{Target: t.info.Name, CachedTokens: j.cachedTokens, ColdDelayed: j.coldDelayed})
	return true
}

// placeOn puts a registered job on a target and records the predictions for it.
func (g *Group) placeOn(now time.Time, j *job, t *target) {
	p := g.predictOn(now, &j.request, t)
	j.granted = now
	j.prefillStart = now.Add(p.prefillStart)
	j.firstToken = now.Add(p.firstToken)
	j.finish = now.Add(p.finish)
	j.tokensAhead = p.tokensAhead
	j.cachedTokens = p.cachedTokens
	j.kvTokens = t.kvTokensFor(&j.request)
	j.inBacklog = len(t.running) >= t.info.Slots
	j.batchAtGrant = len(t.running) + 1
	j.deferrals = 0
	t.add(j)
	if !j.request.Plain {
		t.prefillEnd = now.Add(p.prefillEnd)
		t.prefixIndex.RecordDispatch(now, j.request.Prefix)
	}
	g.meanWork += (j.item.Work - g.meanWork) / meanWorkWindow
}

// predictOn returns the expected course of a request on a target. It takes the
// cached prefix, the prefill in progress and the wait for a slot into account.
func (g *Group) predictOn(now time.Time, r *Request, t *target) prediction {
	cached := min(t.prefixIndex.ExpectedCachedTokens(now, r.Prefix), max(r.PromptTokens-1, 0))
	base := g.options.Model.Predict(estimate.Job{
		Version:       r.Version,
		Hardware:      t.info.Hardware,
		PrefillTokens: r.PromptTokens - cached,
		OutputTokens:  r.OutputTokens,
		Batch:         min(len(t.running)+1, max(t.info.Slots, 1)),
		Plain:         r.Plain,
	})
	p := prediction{prefillEnd: base.FirstToken, firstToken: base.FirstToken, finish: base.Finish, cachedTokens: cached}
	if r.EventTokens > 1 {
		p.firstToken += time.Duration(r.EventTokens) * g.options.Model.TokenTime(r.Version, t.info.Hardware, len(t.running)+1)
	}
	delay := time.Duration(0)
	if !r.Plain {
		delay = max(t.prefillEnd.Sub(now), 0)
		p.tokensAhead = g.prefillTokensIn(delay, r.Version, t.info.Hardware)
	}
	if len(t.running) >= t.info.Slots {
		delay = max(delay, g.slotWait(t))
	}
	p.prefillStart = delay
	p.prefillEnd += delay
	p.firstToken += delay
	p.finish += delay
	return p
}

// prefillTokensIn returns how many tokens a target prefills in the duration d.
func (g *Group) prefillTokensIn(d time.Duration, version, hardware string) int {
	const sampleTokens = 1 << 20
	sampleTime := g.options.Model.PrefillTime(version, hardware, sampleTokens)
	return int(float64(sampleTokens) * float64(d) / float64(max(sampleTime, 1)))
}

// slotWait returns the expected time until a slot of a full target becomes free.
func (g *Group) slotWait(t *target) time.Duration {
	rate := float64(max(t.info.Slots, 1)) * t.speed
	return time.Duration(float64(g.meanWork) / rate)
}
