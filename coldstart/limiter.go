package coldstart

import "time"

// Limiter counts the grants of one target and limits them while the target is cold. Grants
// to a warm target are counted as well, so that a target which turns out to be cold does not
// get a burst on top of them.
type Limiter struct {
	bucket bucket
	// tokens is the number of grants that a cold target may get at the time updated. It is
	// below zero after grants to a warm target.
	tokens  float64
	updated time.Time
	// coldUntil is when the target is warm again.
	coldUntil time.Time
}

// NewLimiter returns a limiter for a target that another daemon may have granted until now.
// share is the part of the rate that this daemon may grant, above 0 and at most 1. offset,
// from 0 to 1, delays the first grant by that part of the time between two grants, so that
// several daemons which start to grant at the same moment do not do so together; it is 0 for
// the owner of a group.
func NewLimiter(now time.Time, limits Limits, share, offset float64) *Limiter {
	b := limits.bucket().scaled(share)
	return &Limiter{bucket: b, tokens: b.start - offset, updated: now}
}

// SetLimits replaces the limits and the share. Grants that were counted stay counted.
func (l *Limiter) SetLimits(now time.Time, limits Limits, share float64) {
	l.refill(now)
	l.bucket = limits.bucket().scaled(share)
	l.refill(now)
}

// Resume must be called when this daemon grants the target again after another one did. What
// the bucket would have gained meanwhile may have been granted by the other daemon. offset is
// that of NewLimiter.
func (l *Limiter) Resume(now time.Time, offset float64) {
	l.tokens = min(l.tokens, l.bucket.start-offset)
	l.updated = now
}

// SetColdUntil sets the time until which the target is cold; it is warm if that has passed.
func (l *Limiter) SetColdUntil(until time.Time) {
	l.coldUntil = until
}

// ColdUntil returns the time that was set last by SetColdUntil.
func (l *Limiter) ColdUntil() time.Time {
	return l.coldUntil
}

// Cold reports whether the target is cold.
func (l *Limiter) Cold(now time.Time) bool {
	return now.Before(l.coldUntil)
}

// Allow reports whether the target may get one more request. It does not count it.
func (l *Limiter) Allow(now time.Time) bool {
	return !l.Next(now).After(now)
}

// Next returns the time at which the target may get one more request if it gets none before,
// not before now.
func (l *Limiter) Next(now time.Time) time.Time {
	if !l.Cold(now) {
		return now
	}
	l.refill(now)
	if l.tokens >= 1 {
		return now
	}
	seconds := min((1-l.tokens)/l.bucket.rate, MaxTime.Seconds())
	wait := time.Duration(seconds*float64(time.Second)) + 1
	if next := now.Add(wait); next.Before(l.coldUntil) {
		return next
	}
	return l.coldUntil
}

// Rate returns the grants per second that a cold target gets in the long run.
func (l *Limiter) Rate() float64 {
	return l.bucket.rate
}

// Available returns the number of requests that a cold target may get now.
func (l *Limiter) Available(now time.Time) int {
	l.refill(now)
	return max(0, int(l.tokens))
}

// Record counts a grant.
func (l *Limiter) Record(now time.Time) {
	l.refill(now)
	// What was granted more than a second ago does not count any more.
	l.tokens = max(l.tokens-1, -l.bucket.rate)
}

// refill adds the tokens of the time since the last update.
func (l *Limiter) refill(now time.Time) {
	if elapsed := now.Sub(l.updated); elapsed > 0 {
		l.tokens += l.bucket.rate * elapsed.Seconds()
		l.updated = now
	}
	l.tokens = min(l.tokens, l.bucket.size)
}
