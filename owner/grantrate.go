package owner

import "time"

const (
	// rateBucketDuration and rateBucketCount define the window over which grants are
	// counted: long compared with one short request, short compared with a burst.
	rateBucketDuration = 250 * time.Millisecond
	rateBucketCount    = 4
	// minRateGrants is the number of grants in the window below which the rate is
	// not used.
	minRateGrants = 4
	// minTierShare is the smallest share of the grant rate that a tier is assumed to
	// get. Its share in the window may be zero only because it had no requests.
	minTierShare = 0.1
	// minWaitedElsewhere is the time waited in other groups from which on
	// lateAtGrantRate does not apply to a request: the prediction puts it behind all
	// waiting requests, but it keeps its position by arrival time.
	minWaitedElsewhere = 100 * time.Millisecond
)

// grantRate counts the grants of the last second by tier in a ring of buckets.
type grantRate struct {
	counts [rateBucketCount][MaxTier + 1]int
	// bucket is the number of the current bucket since the Unix epoch.
	bucket int64
}

// recordGrant counts one grant.
func (r *grantRate) recordGrant(now time.Time, tier int) {
	r.advance(now)
	r.counts[r.bucket%rateBucketCount][tier]++
}

// advance clears the buckets that have left the window.
func (r *grantRate) advance(now time.Time) {
	bucket := now.UnixNano() / int64(rateBucketDuration)
	for next := max(r.bucket+1, bucket-rateBucketCount+1); next <= bucket; next++ {
		r.counts[next%rateBucketCount] = [MaxTier + 1]int{}
	}
	r.bucket = max(r.bucket, bucket)
}

// count returns the grants of the last second, of all tiers.
func (r *grantRate) count(now time.Time) int {
	r.advance(now)
	sum := 0
	for _, counts := range r.counts {
		for _, n := range counts {
			sum += n
		}
	}
	return sum
}

// perSecond returns the grants per second of all tiers, and of a tier and the lower
// ones, which is what the higher tiers leave. known is false when there were fewer
// than minRateGrants.
func (r *grantRate) perSecond(now time.Time, tier int) (total, remaining float64, known bool) {
	r.advance(now)
	sum, lower := 0, 0
	for _, counts := range r.counts {
		for t, n := range counts {
			sum += n
			if t >= tier {
				lower += n
			}
		}
	}
	span := (rateBucketCount * rateBucketDuration).Seconds()
	total, remaining = float64(sum)/span, float64(lower)/span
	return total, max(remaining, minTierShare*total), sum >= minRateGrants
}

// lateAtGrantRate reports whether the first token of a new request would be late at
// the grant rate of the last second, and returns the wait until it would be granted. A
// caller that is refused on arrival can retry when the queue is shorter, while one that
// is refused at its deadline has waited for nothing. Requests of higher tiers that arrive
// later go first, so a tier is served at the rate that the higher ones leave. It is
// false while the rate is not known or nothing waits ahead, and for requests that are
// accepted, have no FirstTokenBy or MaxGap, or have waited elsewhere for minWaitedElsewhere
// or longer.
func (g *Group) lateAtGrantRate(now time.Time, j *job, usable uint64) (time.Duration, bool) {
	firstTokenBy := j.request.FirstTokenBy
	tier := j.request.Tier
	ahead := g.queue.CountAhead(tier, j.item.Class.Remote)
	total, remaining, known := g.grantRate.perSecond(now, tier)
	if firstTokenBy.IsZero() || ahead == 0 || !known || j.request.Accepted || j.request.MaxGap == 0 || j.request.WaitedElsewhere >= minWaitedElsewhere {
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
