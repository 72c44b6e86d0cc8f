package ratelimit

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// PortionValidity is how long a portion is valid, counted from the sending of
	// the report that it answers.
	PortionValidity = 2 * time.Second
	// FloorDelay is the time from the expiry of a portion below the floor until
	// the daemon uses its floor. A divider that misses a report reserves the
	// daemon's floor in its next round, and after three more rounds the other
	// daemons have given it back.
	FloorDelay = 6 * time.Second
	// burstDuration is the time in which an empty bucket fills up.
	burstDuration = time.Second
	// demandWeight is the weight of the time since the last report in the
	// smoothed demand.
	demandWeight = 0.7
)

// Account limits one client account in one daemon. It is safe for concurrent use.
type Account struct {
	mu             sync.Mutex
	limiter        *rate.Limiter
	floor          float64   // units per second
	portion        float64   // units per second
	portionUntil   time.Time // zero before the first portion
	nextRateChange time.Time // when the rate in force changes without a call; zero for never

	offeredUnits    float64 // since demandUpdatedAt
	demand          float64 // smoothed, in units per second
	demandUpdatedAt time.Time
}

// NewAccount returns an account that uses its floor.
func NewAccount(now time.Time, limit float64, liveDaemons int) *Account {
	a := &Account{limiter: rate.NewLimiter(0, 1), demandUpdatedAt: now}
	a.SetFloor(now, limit, liveDaemons)
	return a
}

// SetFloor sets the floor to the limit, in units per second, divided by the number
// of live daemons.
func (a *Account) SetFloor(now time.Time, limit float64, liveDaemons int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.floor = limit / float64(max(1, liveDaemons))
	a.applyRate(now)
}

// SetPortion sets the portion, in units per second, with which the divider answered
// the report that was sent at reportedAt. It is ignored unless that report is newer
// than the one that the present portion answers.
func (a *Account) SetPortion(now time.Time, perSecond float64, reportedAt time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	until := reportedAt.Add(PortionValidity)
	if !until.After(a.portionUntil) {
		return // an answer to an earlier report
	}
	a.portion, a.portionUntil = perSecond, until
	a.applyRate(now)
}

// Allow takes cost units from the bucket. It reports false, and takes nothing, when
// the bucket has too few. A cost above the bucket's size is allowed when the bucket
// is full, and leaves it in debt.
func (a *Account) Allow(now time.Time, cost int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refreshRate(now)
	a.offeredUnits += float64(cost)
	required := math.Min(float64(cost), float64(a.limiter.Burst()))
	if a.limiter.TokensAt(now) < required {
		return false
	}
	a.deduct(now, cost)
	return true
}

// Charge takes cost further units for work that turned out larger than what Allow
// took, such as output tokens. The bucket may go into debt.
func (a *Account) Charge(now time.Time, cost int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refreshRate(now)
	a.offeredUnits += float64(cost)
	a.deduct(now, cost)
}

// RetryAfter returns the time until a request of this cost would be allowed at
// the rate in force.
func (a *Account) RetryAfter(now time.Time, cost int) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refreshRate(now)
	missing := math.Min(float64(cost), float64(a.limiter.Burst())) - a.limiter.TokensAt(now)
	// At least 0.01 units per second keeps the time finite when the limit is 0.
	perSecond := math.Max(float64(a.limiter.Limit()), 0.01)
	return time.Duration(math.Max(missing, 0) / perSecond * float64(time.Second))
}

// UpdateDemand returns the smoothed demand in units per second, refused units included,
// and updates it with the units offered since the last call. It is called once a
// second, for the report to the divider.
func (a *Account) UpdateDemand(now time.Time) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	elapsed := now.Sub(a.demandUpdatedAt).Seconds()
	if elapsed > 0 {
		a.demand += demandWeight * (a.offeredUnits/elapsed - a.demand)
		a.offeredUnits, a.demandUpdatedAt = 0, now
	}
	return a.demand
}

// Rate returns the rate in force in units per second.
func (a *Account) Rate(now time.Time) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refreshRate(now)
	return float64(a.limiter.Limit())
}

// deduct takes cost units from the limiter in steps of its burst, which is the most
// that it accepts at once.
func (a *Account) deduct(now time.Time, cost int) {
	for cost > 0 {
		step := min(cost, a.limiter.Burst())
		a.limiter.ReserveN(now, step)
		cost -= step
	}
}

// refreshRate applies a change of the rate in force that is due at now.
func (a *Account) refreshRate(now time.Time) {
	if !a.nextRateChange.IsZero() && !now.Before(a.nextRateChange) {
		a.applyRate(now)
	}
}

// applyRate sets the limiter to the rate in force at now: the portion while it is
// valid, or still for FloorDelay when it is below the floor, and else the floor.
func (a *Account) applyRate(now time.Time) {
	perSecond := a.floor
	floorFrom := a.portionUntil.Add(FloorDelay)
	a.nextRateChange = time.Time{}
	switch {
	case a.portionUntil.IsZero():
	case now.Before(a.portionUntil):
		perSecond, a.nextRateChange = a.portion, a.portionUntil
	case now.Before(floorFrom) && a.portion < a.floor:
		perSecond, a.nextRateChange = a.portion, floorFrom
	}
	a.limiter.SetLimitAt(now, rate.Limit(perSecond))
	a.limiter.SetBurstAt(now, max(1, int(perSecond*burstDuration.Seconds())))
}
