package owner

import "time"

const (
	// paceBucket and paceBuckets are the span over which grants are counted: long
	// against the time of one short request, short against a burst.
	paceBucket  = 250 * time.Millisecond
	paceBuckets = 4
	// minPaceGrants is the number of grants below which the pace says nothing.
	minPaceGrants = 4
	// minTierShare is the part of the pace that a tier is assumed to get at least: in
	// the last second there may have been no request of the tier.
	minTierShare = 0.1
	// inLine is the wait from which on a request counts as one that waits already: it
	// keeps its place by arrival when it asks again, and is not behind all others.
	inLine = 100 * time.Millisecond
)

// pace counts the grants of the last second by tier.
type pace struct {
	counts [paceBuckets][MaxTier + 1]int
	at     int64
}

// note counts one grant.
func (p *pace) note(now time.Time, tier int) {
	p.advance(now)
	p.counts[p.at%paceBuckets][tier]++
}

func (p *pace) advance(now time.Time) {
	at := now.UnixNano() / int64(paceBucket)
	for next := max(p.at+1, at-paceBuckets+1); next <= at; next++ {
		p.counts[next%paceBuckets] = [MaxTier + 1]int{}
	}
	p.at = max(p.at, at)
}

// perSecond returns the grants per second, all and those of a tier and the lower ones:
// what the higher tiers leave. It returns false when there were too few.
func (p *pace) perSecond(now time.Time, tier int) (all, left float64, known bool) {
	p.advance(now)
	sum, lower := 0, 0
	for _, bucket := range p.counts {
		for t, n := range bucket {
			sum += n
			if t >= tier {
				lower += n
			}
		}
	}
	span := (paceBuckets * paceBucket).Seconds()
	all, left = float64(sum)/span, float64(lower)/span
	return all, max(left, minTierShare*all), sum >= minPaceGrants
}

// turnsUpLate reports whether a new request would find its first token late at the
// pace of the last second, and the wait until its turn. A caller that is told so at
// once can come back when the queue is shorter; one that is told when its time is
// over has waited for nothing. Requests of higher tiers that arrive later go first, so
// a tier is served at the pace that the higher ones leave.
func (g *Group) turnsUpLate(now time.Time, j *job, usable uint64) (time.Duration, bool) {
	by := j.request.FirstTokenBy
	tier := j.request.Tier
	ahead := g.queue.CountUpTo(tier)
	all, left, known := g.pace.perSecond(now, tier)
	if by.IsZero() || ahead == 0 || !known || j.request.Accepted || j.request.MaxGap == 0 || j.request.Waited >= inLine {
		return 0, false
	}
	higher := g.queue.CountUpTo(tier - 1)
	turn := float64(higher)/all + float64(ahead-higher+1)/left
	wait := time.Duration(turn * float64(time.Second))
	for _, t := range g.targets {
		if t.bit&usable == 0 {
			continue
		}
		p := g.options.Model.Predict(g.prefillOn(now, &j.request, t))
		if !now.Add(wait + p.FirstToken).After(by) {
			return wait, false
		}
	}
	return wait, true
}
