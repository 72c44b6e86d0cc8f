package owner

import "time"

const (
	// rateBucket and rateBuckets are the span over which grants are counted: long
	// against the time of one short request, short against a burst.
	rateBucket  = 250 * time.Millisecond
	rateBuckets = 4
	// minRateGrants is the number of grants below which the pace says nothing.
	minRateGrants = 4
	// minTierShare is the part of the pace that a tier is assumed to get at least: in
	// the last second there may have been no request of the tier.
	minTierShare = 0.1
	// minQueuedWait is the wait from which on a request counts as one that waits already: it
	// keeps its place by arrival when it asks again, and is not behind all others.
	minQueuedWait = 100 * time.Millisecond
)

// grantRate counts the grants of the last second by tier.
type grantRate struct {
	counts [rateBuckets][MaxTier + 1]int
	bucket int64
}

// note counts one grant.
func (p *grantRate) recordGrant(now time.Time, tier int) {
	p.advance(now)
	p.counts[p.bucket%rateBuckets][tier]++
}

func (p *grantRate) advance(now time.Time) {
	bucket := now.UnixNano() / int64(rateBucket)
	for next := max(p.bucket+1, bucket-rateBuckets+1); next <= bucket; next++ {
		p.counts[next%rateBuckets] = [MaxTier + 1]int{}
	}
	p.bucket = max(p.bucket, bucket)
}

// perSecond returns the grants per second, all and those of a tier and the lower ones:
// what the higher tiers leave. It returns false when there were too few.
func (p *grantRate) perSecond(now time.Time, tier int) (total, remaining float64, known bool) {
	p.advance(now)
	sum, lower := 0, 0
	for _, counts := range p.counts {
		for t, n := range counts {
			sum += n
			if t >= tier {
				lower += n
			}
		}
	}
	span := (rateBuckets * rateBucket).Seconds()
	total, remaining = float64(sum)/span, float64(lower)/span
	return total, max(remaining, minTierShare*total), sum >= minRateGrants
}

// lateAtGrantRate reports whether a new request would find its first token late at the
// pace of the last second, and the wait until its turn. A caller that is told so at
// once can come back when the queue is shorter; one that is told when its time is
// over has waited for nothing. Requests of higher tiers that arrive later go first, so
// a tier is served at the pace that the higher ones leave.
func (g *Group) lateAtGrantRate(now time.Time, j *job, usable uint64) (time.Duration, bool) {
	firstTokenBy := j.request.FirstTokenBy
	tier := j.request.Tier
	ahead := g.queue.CountUpTo(tier)
	total, remaining, known := g.grantRate.perSecond(now, tier)
	if firstTokenBy.IsZero() || ahead == 0 || !known || j.request.Accepted || j.request.MaxGap == 0 || j.request.Waited >= minQueuedWait {
		return 0, false
	}
	higher := g.queue.CountUpTo(tier - 1)
	seconds := float64(higher)/total + float64(ahead-higher+1)/remaining
	wait := time.Duration(seconds * float64(time.Second))
	for _, t := range g.targets {
		if t.bit&usable == 0 {
			continue
		}
		p := g.options.Model.Predict(g.prefillOn(now, &j.request, t))
		if !now.Add(wait + p.FirstToken).After(firstTokenBy) {
			return wait, false
		}
	}
	return wait, true
}
