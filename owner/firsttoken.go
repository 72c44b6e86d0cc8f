package owner

import "time"

// keepTimely leaves out the candidates on which the first token of a request would
// be late. When it would be late on all of them, it keeps them if the request is to
// be tried anyway, and reports false otherwise.
func (g *Group) keepTimely(now time.Time, j *job) bool {
	if j.request.FirstTokenBy.IsZero() {
		return true
	}
	c := &g.candidates
	kept := 0
	for i, t := range c.targets {
		if g.firstTokenInTime(now, j, t, c.starts[i]) {
			c.targets[kept], c.views[kept], c.starts[kept] = t, c.views[i], c.starts[i]
			kept++
		}
	}
	if kept == 0 {
		return g.triedLate(now, j)
	}
	c.targets, c.views, c.starts = c.targets[:kept], c.views[:kept], c.starts[:kept]
	return true
}

// firstTokenInTime reports whether the first token on a target is expected within
// the bound. The only waiting request of its tier and the higher ones is tried when
// it might be in time.
func (g *Group) firstTokenInTime(now time.Time, j *job, t *target, p prediction) bool {
	factor, settled := g.options.Model.Spread(j.request.Version, t.info.Hardware)
	if g.queue.CountUpTo(j.request.Tier) <= 1 {
		factor = optimism
	}
	first := time.Duration(float64(p.firstToken) * factor)
	return !settled || !now.Add(first).After(j.request.FirstTokenBy)
}

// triedLate reports whether a request is dispatched although its first token will
// probably be late: when nothing of the group runs, since a wrong estimate would
// never be corrected, and when lower-tier work runs that it could preempt or was
// preempted for it just now, since it must not be shed then.
func (g *Group) triedLate(now time.Time, j *job) bool {
	class, _ := g.narrow(now, j)
	rescued := now.Sub(j.lastPreempt) < victimTimeout
	return rescued || g.idle() || g.hasVictims(j, class.Possible&g.upMask())
}

// abandon refuses a request whose first token would be late on every target that
// it can use, the full ones included. It reports false when the request can wait
// for another target.
func (g *Group) abandon(now time.Time, j *job) bool {
	class, _ := g.narrow(now, j)
	usable := class.Possible & g.upMask()
	for _, t := range g.targets {
		if t.bit&usable != 0 && g.firstTokenInTime(now, j, t, g.predictOn(now, &j.request, t)) {
			return false
		}
	}
	g.observeWait(now, j)
	g.refuse(j, ReasonExpired, g.shedLater(now, j, g.queueWait(j, usable)))
	return true
}
