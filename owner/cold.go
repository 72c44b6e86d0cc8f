package owner

import "time"

// isCold reports whether the target is cold and its grants are limited.
func (t *target) isCold(now time.Time) bool {
	return t.info.Cold != nil && t.info.Cold.Cold(now)
}

// permits reports whether the limit of the target, if it is cold, permits one more request.
func (t *target) permits(now time.Time) bool {
	return t.info.Cold == nil || t.info.Cold.Allow(now)
}

// recordGrant counts a grant of the target toward its limit.
func (t *target) recordGrant(now time.Time) {
	if t.info.Cold != nil {
		t.info.Cold.Record(now)
	}
}

// freeSlots returns the number of requests that the target may get now, without backlog.
func (t *target) freeSlots(now time.Time) int {
	free := max(t.info.Slots-len(t.running), 0)
	if t.isCold(now) {
		return min(free, t.info.Cold.Available(now))
	}
	return free
}

// preferWarm removes the cold candidates if a warm one has a free slot: a cold target is slow,
// and what it may get is kept for requests that no warm target can take.
func (g *Group) preferWarm(now time.Time) {
	c := &g.candidates
	if !g.hasWarmCandidate(now) {
		return
	}
	kept := 0
	for i, t := range c.targets {
		if !t.isCold(now) {
			c.targets[kept], c.views[kept], c.predictions[kept] = t, c.views[i], c.predictions[i]
			kept++
		}
	}
	c.targets, c.views, c.predictions = c.targets[:kept], c.views[:kept], c.predictions[:kept]
}

func (g *Group) hasWarmCandidate(now time.Time) bool {
	for _, t := range g.candidates.targets {
		if !t.isCold(now) && t.hasCapacity(0) {
			return true
		}
	}
	return false
}

// waitsForCold reports whether a waiting request would be granted if no target were cold.
func (g *Group) waitsForCold(now time.Time, j *job) bool {
	for _, t := range g.targets {
		if t.bit&j.item.Class.Possible != 0 && t.hasCapacity(g.options.Backlog) && !t.permits(now) {
			return true
		}
	}
	return false
}

// coldWait returns the time after which the limits of the targets of a mask permit one more
// request, behind a number of waiting ones. It is 0 if a target of the mask is up and warm, and
// at most the time until the first one is warm.
func (g *Group) coldWait(now time.Time, ahead int, mask uint64) time.Duration {
	rate, available := 0.0, 0
	firstWarm := time.Time{}
	for _, t := range g.targets {
		if t.bit&mask == 0 || t.state != TargetUp {
			continue
		}
		if !t.isCold(now) {
			return 0
		}
		rate += t.info.Cold.Rate()
		available += t.info.Cold.Available(now)
		if until := t.info.Cold.ColdUntil(); firstWarm.IsZero() || until.Before(firstWarm) {
			firstWarm = until
		}
	}
	missing := ahead + 1 - available
	if rate == 0 || missing <= 0 {
		return 0
	}
	seconds := min(float64(missing)/rate, firstWarm.Sub(now).Seconds())
	return time.Duration(seconds * float64(time.Second))
}
