package owner

import "time"

// dropLateCandidates removes the candidates on which the first token of a request
// would be late. When it would be late on all of them, it keeps them all and returns
// true if mayStartLate permits that, and returns false otherwise.
func (g *Group) dropLateCandidates(now time.Time, j *job) bool {
	if j.request.FirstTokenBy.IsZero() {
		return true
	}
	c := &g.candidates
	kept := 0
	for i, t := range c.targets {
		if g.firstTokenInTime(now, j, t, c.predictions[i]) {
			c.targets[kept], c.views[kept], c.predictions[kept] = t, c.views[i], c.predictions[i]
			kept++
		}
	}
	if kept == 0 {
		return g.mayStartLate(now, j)
	}
	c.targets, c.views, c.predictions = c.targets[:kept], c.views[:kept], c.predictions[:kept]
	return true
}

// firstTokenInTime reports whether the first token on a target is expected by
// FirstTokenBy in nearly all cases, or in the best case if no other request of the
// same or a higher tier waits. It returns true while the estimates are not confident.
func (g *Group) firstTokenInTime(now time.Time, j *job, t *target, p prediction) bool {
	factor, confident := g.options.Model.Spread(j.request.Version, t.info.Hardware)
	if g.queue.CountUpTo(j.request.Tier) <= 1 {
		factor = bestCaseFactor
	}
	firstToken := time.Duration(float64(p.firstToken) * factor)
	return !confident || !now.Add(firstToken).After(j.request.FirstTokenBy)
}

// mayStartLate reports whether a request is dispatched although its first token will
// probably be late. That is so when nothing runs in the group, since a wrong
// estimate would otherwise never be corrected, and when lower-tier work was just
// preempted for the request or can be, since it must not be shed then.
func (g *Group) mayStartLate(now time.Time, j *job) bool {
	class, _ := g.feasibleClass(now, j)
	preemptionPending := now.Sub(j.lastPreempt) < victimTimeout
	return preemptionPending || g.idle() || g.hasVictims(j, class.Possible&g.upMask())
}

// refuseIfLateEverywhere refuses a request whose first token would be late on every
// target that it can use, including targets without a free slot. It returns false
// when the first token may still be in time on one of them, so that the request can
// wait for it.
func (g *Group) refuseIfLateEverywhere(now time.Time, j *job) bool {
	class, _ := g.feasibleClass(now, j)
	usable := class.Possible & g.upMask()
	for _, t := range g.targets {
		if t.bit&usable != 0 && g.firstTokenInTime(now, j, t, g.predictOn(now, &j.request, t)) {
			return false
		}
	}
	g.observeWait(now, j)
	g.refuse(j, ReasonExpired, g.shedRetryAfter(now, j, g.queueWait(now, j, usable)))
	return true
}
