package owner

import "time"

const (
	// minRetryAfter and maxRetryAfter bound the advice to callers.
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// overloadQuietPeriod without a shed request ends an overload.
	overloadQuietPeriod = time.Second
)

// overload tells since when requests of a tier are shed.
type overload struct {
	since, last [MaxTier + 1]time.Time
}

// note records a shed request and returns how long its tier has been overloaded.
func (o *overload) recordShed(now time.Time, tier int) time.Duration {
	if now.Sub(o.last[tier]) > overloadQuietPeriod {
		o.since[tier] = now
	}
	o.last[tier] = now
	return now.Sub(o.since[tier])
}

// shedRetryAfter records a shed request and returns the advice to its caller: when its turn
// would come, by how much it would have to wait too long, or after the time that the
// overload has lasted. How long an overload goes on is not known; one that began just
// now is mostly a short one, and a caller that comes back into a long one is sent away
// for good.
func (g *Group) shedRetryAfter(now time.Time, j *job, excess time.Duration) time.Duration {
	return max(minRetryAfter, min(max(excess, g.overload.recordShed(now, j.request.Tier)), maxRetryAfter))
}
