package ratelimit

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// Validity is the time that a portion is valid after the report that it answers.
	Validity = 2 * time.Second
	// RaiseAfter is the time after the end of a portion below the floor at which
	// the floor applies. A divider that misses a report reserves the floor in its
	// next round, and after three more rounds the others have given it back.
	RaiseAfter = 6 * time.Second
	// burstTime is the time for which a bucket collects its rate.
	burstTime = time.Second
	// demandWeight is the weight of the newest second in the reported demand.
	demandWeight = 0.7
)

// Account limits one client account in one daemon. It is safe for concurrent use.
type Account struct {
	mu       sync.Mutex
	limiter  *rate.Limiter
	floor    float64
	portion  float64
	until    time.Time // zero without a portion
	nextEdge time.Time // when the rate in force changes next by itself

	offered  float64
	demand   float64
	reported time.Time
}

// NewAccount returns an account that uses its floor.
func NewAccount(now time.Time, limit float64, liveDaemons int) *Account {
	a := &Account{limiter: rate.NewLimiter(0, 1), reported: now}
	a.SetFloor(now, limit, liveDaemons)
	return a
}

// SetFloor changes the limit, in units per second, or the number of live daemons.
func (a *Account) SetFloor(now time.Time, limit float64, liveDaemons int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.floor = limit / float64(max(1, liveDaemons))
	a.apply(now)
}

// SetPortion sets the rate that the divider gave in answer to a report that was
// sent at reportedAt.
func (a *Account) SetPortion(now time.Time, perSecond float64, reportedAt time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	until := reportedAt.Add(Validity)
	if !until.After(a.until) {
		return // an answer to an earlier report
	}
	a.portion, a.until = perSecond, until
	a.apply(now)
}

// Allow takes cost units, and reports false when the bucket has too few. A cost
// above the bucket's size is allowed when the bucket is full, and paid off later.
func (a *Account) Allow(now time.Time, cost int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refresh(now)
	a.offered += float64(cost)
	need := math.Min(float64(cost), float64(a.limiter.Burst()))
	if a.limiter.TokensAt(now) < need {
		return false
	}
	a.take(now, cost)
	return true
}

// Charge takes units for work that turned out larger than what Allow took, such
// as output tokens. The bucket may go into debt.
func (a *Account) Charge(now time.Time, cost int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refresh(now)
	a.offered += float64(cost)
	a.take(now, cost)
}

// RetryAfter returns the time until a request of this cost would be allowed at
// the rate in force.
func (a *Account) RetryAfter(now time.Time, cost int) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refresh(now)
	missing := math.Min(float64(cost), float64(a.limiter.Burst())) - a.limiter.TokensAt(now)
	perSecond := math.Max(float64(a.limiter.Limit()), 0.01)
	return time.Duration(math.Max(missing, 0) / perSecond * float64(time.Second))
}

// Demand returns the offered units per second, refused ones included, since the
// last call, smoothed. It is called once a second, for the report to the divider.
func (a *Account) Demand(now time.Time) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	elapsed := now.Sub(a.reported).Seconds()
	if elapsed > 0 {
		a.demand += demandWeight * (a.offered/elapsed - a.demand)
		a.offered, a.reported = 0, now
	}
	return a.demand
}

// Rate returns the rate in force in units per second.
func (a *Account) Rate(now time.Time) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refresh(now)
	return float64(a.limiter.Limit())
}

// take charges the limiter in steps of its burst, which is the most that it
// accepts at once.
func (a *Account) take(now time.Time, cost int) {
	for cost > 0 {
		step := min(cost, a.limiter.Burst())
		a.limiter.ReserveN(now, step)
		cost -= step
	}
}

func (a *Account) refresh(now time.Time) {
	if !a.nextEdge.IsZero() && !now.Before(a.nextEdge) {
		a.apply(now)
	}
}

// apply sets the limiter to the rate that holds now.
func (a *Account) apply(now time.Time) {
	perSecond := a.floor
	raise := a.until.Add(RaiseAfter)
	a.nextEdge = time.Time{}
	switch {
	case a.until.IsZero():
	case now.Before(a.until):
		perSecond, a.nextEdge = a.portion, a.until
	case now.Before(raise) && a.portion < a.floor:
		perSecond, a.nextEdge = a.portion, raise
	}
	a.limiter.SetLimitAt(now, rate.Limit(perSecond))
	a.limiter.SetBurstAt(now, max(1, int(perSecond*burstTime.Seconds())))
}
