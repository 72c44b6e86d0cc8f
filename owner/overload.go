package owner

import "time"

const (
	// minRetryAfter and maxRetryAfter bound Decision.RetryAfter.
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// overloadQuietPeriod is the time without a shed request of a tier after which
	// its overload has ended.
	overloadQuietPeriod = time.Second
)

// overload records since when requests of each tier are being shed.
type overload struct {
	// since is the start of the overload, last the time of the last shed request.
	since, last [MaxTier + 1]time.Time
}

// recordShed records a shed request and returns how long its tier has been
// overloaded.
func (o *overload) recordShed(now time.Time, tier int) time.Duration {
	if now.Sub(o.last[tier]) > overloadQuietPeriod {
		o.since[tier] = now
	}
	o.last[tier] = now
	return now.Sub(o.since[tier])
}

// shedRetryAfter records a shed request and returns after how long its caller should
// retry: after the excess or the duration of the overload so far, whichever is longer,
// within minRetryAfter and maxRetryAfter. The excess is the wait until the request
// would be granted, or the part of its predicted wait that is too long.
//
// It is not known how long an overload will last, but one that began just now is
// usually short. A caller that retries while a long one still lasts is shed again, this
// time finally.
func (g *Group) shedRetryAfter(now time.Time, j *job, excess time.Duration) time.Duration {
	return max(minRetryAfter, min(max(excess, g.overload.recordShed(now, j.request.Tier)), maxRetryAfter))
}
