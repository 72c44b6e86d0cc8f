package owner

import "time"

// dropLateCandidates leaves out the candidates on which the first token of a request would
// be late. When it would be late on all of them, it keeps them if the request is to
// be tried anyway, and reports false otherwise.
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

// firstTokenInTime reports whether the first token on a target is expected within
// the bound. The only waiting request of its tier and the higher ones is tried when
// it might be in time.
func (g *Group) firstTokenInTime(now time.Time, j *job, t *target, p prediction) bool {
	factor, confident := g.options.Model.Spread(j.request.Version, t.info.Hardware)
	if g.queue.CountUpTo(j.request.Tier) <= 1 {
		factor = bestCaseFactor
	}
	firstToken := time.Duration(float64(p.firstToken) * factor)
	return !confident || !now.Add(firstToken).After(j.request.FirstTokenBy)
}

// mayStartLate reports whether a request is dispatched although its first token will
// probably be late: when nothing of the group runs, since a wrong estimate would
// never be corrected, and when lower-tier work runs that it could preempt or was
// preempted for it just now, since it must not be shed then.
func (g *Group) mayStartLate(now time.Time, j *job) bool {
	class, _ := g.feasibleClass(now, j)
	preemptionPending := now.Sub(j.lastPreempt) < victimTimeout
	return preemptionPending || g.idle() || g.hasVictims(j, class.Possible&g.upMask())
}

// refuseIfLateEverywhere refuses a request whose first token would be late on every target that
// it can use, the full ones included. It reports false when the request can wait
// for another target.
func (g *Group) refuseIfLateEverywhere(now time.Time, j *job) bool {
	class, _ := g.feasibleClass(now, j)
	usable := class.Possible & g.upMask()
	for _, t := range g.targets {
		if t.bit&usable != 0 && g.firstTokenInTime(now, j, t, g.predictOn(now, &j.request, t)) {
			return false
		}
	}
	g.observeWait(now, j)
	g.refuse(j, ReasonExpired, g.shedRetryAfter(now, j, g.queueWait(j, usable)))
	return true
}
