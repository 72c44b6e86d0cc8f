// Package quota enforces the rate limits of client accounts across all daemons.
// Each limit has one token bucket. Its owner is the live daemon that ranks first
// for the limit by rendezvous hashing. The other daemons lease units from the
// owner for the requests that they accept, and some in advance while the bucket
// is more than half full. With one bucket per limit, a long request of a small
// account fits; it would hardly fit into a bucket per daemon with a share of the
// limit each.
//
// A daemon that gets no answer from the owner uses a local fallback bucket with
// its share of the limit. An owner that sees less than half of the daemons that
// it knew grants only the share of those it sees, since a network partition may
// have given the other daemons an owner too.
package quota

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/marjoramflow/marjoramflow/internal/ctxtime"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
	"github.com/marjoramflow/marjoramflow/ratelimit"
	"github.com/marjoramflow/marjoramflow/rendezvous"
)

const (
	// replyTimeout bounds the wait for the reply of a bucket owner: several round
	// trips between regions, and far less than the time in which a response to the
	// caller is due.
	replyTimeout = 150 * time.Millisecond
	// prefetchTime determines how many units a daemon leases in advance: its even
	// share of the rate over this time.
	prefetchTime = 250 * time.Millisecond
	// knownDaemonsTTL is how long daemons that are no longer live still count as known.
	knownDaemonsTTL = 30 * time.Second
	// tickInterval is the time between two checks of the list of live daemons.
	tickInterval = 200 * time.Millisecond
	// fallbackBurstShare is the fraction of its even share of the burst that a
	// daemon uses while the bucket owner does not answer.
	fallbackBurstShare = 0.5
	// minVisibleShare is the fraction of the known daemons that a bucket owner has
	// to see live to grant the whole limit. Below it, the owner grants only the
	// share of the daemons that it sees.
	minVisibleShare = 0.5
)

// Prefixes of the keys of an account's two limits; the account name follows.
const (
	requestLimitPrefix = "requests/"
	tokenLimitPrefix   = "tokens/"
)

// Config holds the parts of a Limiter. All are required.
type Config struct {
	Self string
	Send func(to string, m *peerpb.Envelope) error
	// LiveAll returns the live daemons of all data centres, in name order.
	LiveAll func() []string
	// BucketLimits returns the rate and the size, in units, of the bucket for a limit.
	BucketLimits func(account *object.ClientAccount, perSecond float64) (rate, burst float64)
}

// Limiter leases units from the buckets of other daemons and grants leases from
// the buckets that this daemon owns. Its methods are safe for concurrent use.
type Limiter struct {
	Config

	mu     sync.Mutex
	limits map[string]*limitState
	live   []string
	// knownDaemons is the highest number of daemons that were recently live at once,
	// knownDaemonsAt the time at which it was last seen or lowered.
	knownDaemons   int
	knownDaemonsAt time.Time
	pendingReplies map[uint64]chan *peerpb.LeaseReply
	nextID         uint64
}

// limitState is the state of one limit of one account.
type limitState struct {
	perSecond, burst float64
	// leasedUnits are leased and not yet used.
	leasedUnits int
	// bucket is the limit's bucket while this daemon owns it, otherwise nil.
	bucket *ratelimit.Bucket
	// fallback is used while the bucket owner does not answer; nil before that.
	fallback *ratelimit.Bucket
}

// New returns a Limiter without limits: it allows every request until SetConfig.
func New(config Config) *Limiter {
	return &Limiter{Config: config, limits: make(map[string]*limitState), pendingReplies: make(map[uint64]chan *peerpb.LeaseReply)}
}

// SetConfig replaces the limits by those of a configuration. Limits that stay keep
// their buckets, and their leased units unless rate or burst changed.
func (l *Limiter) SetConfig(set *object.Set) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.limits
	l.limits = make(map[string]*limitState)
	for i := range set.ClientAccounts {
		account := &set.ClientAccounts[i]
		l.setLimit(now, old, requestLimitPrefix+account.Name, account, account.RequestsPerSecond)
		l.setLimit(now, old, tokenLimitPrefix+account.Name, account, account.TokensPerSecond)
	}
}

func (l *Limiter) setLimit(now time.Time, old map[string]*limitState, key string, account *object.ClientAccount, perSecond float64) {
	if perSecond <= 0 {
		return
	}
	state := old[key]
	if state == nil {
		state = &limitState{}
	}
	l.limits[key] = state
	rate, burst := l.BucketLimits(account, perSecond)
	if state.perSecond == rate && state.burst == burst {
		return
	}
	state.perSecond, state.burst = rate, burst
	state.leasedUnits = 0
	l.setRates(now, state)
	l.ensureBucket(now, key, state)
}

// setRates sets rate and burst of the limit's buckets. The caller holds the lock.
func (l *Limiter) setRates(now time.Time, state *limitState) {
	if state.bucket != nil {
		share := l.grantShare()
		state.bucket.SetRate(now, share*state.perSecond, share*state.burst)
	}
	if state.fallback != nil {
		perSecond, burst := l.fallbackLimits(state)
		state.fallback.SetRate(now, perSecond, burst)
	}
}

// fallbackLimits returns the rate and the burst that this daemon uses while the
// bucket owner does not answer. The caller holds the lock.
func (l *Limiter) fallbackLimits(state *limitState) (perSecond, burst float64) {
	daemonCount := float64(max(1, l.knownDaemons))
	return state.perSecond / daemonCount, fallbackBurstShare * state.burst / daemonCount
}

// grantShare returns the fraction of a limit that this daemon may grant as the owner
// of its bucket. The caller holds the lock.
func (l *Limiter) grantShare() float64 {
	if l.knownDaemons == 0 {
		return 1
	}
	visibleShare := float64(len(l.live)) / float64(l.knownDaemons)
	if visibleShare < minVisibleShare {
		return visibleShare
	}
	return 1
}

// Run tracks the live daemons until the context ends. It returns nil.
func (l *Limiter) Run(ctx context.Context) error {
	return ctxtime.RunEvery(ctx, tickInterval, l.tick)
}

func (l *Limiter) tick(now time.Time) {
	live := l.LiveAll()
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(live) >= l.knownDaemons || now.Sub(l.knownDaemonsAt) > knownDaemonsTTL {
		l.knownDaemons, l.knownDaemonsAt = len(live), now
	}
	if slices.Equal(live, l.live) {
		return
	}
	l.live = live
	for key, state := range l.limits {
		if state.bucket != nil && rendezvous.Owner(key, l.live) != l.Self {
			state.bucket = nil
		}
		l.setRates(now, state)
		l.ensureBucket(now, key, state)
	}
}

// ensureBucket creates the bucket of a limit if this daemon owns it, so that it
// fills before the first request. The caller holds the lock.
func (l *Limiter) ensureBucket(now time.Time, key string, state *limitState) {
	if state.bucket != nil || rendezvous.Owner(key, l.live) != l.Self {
		return
	}
	share := l.grantShare()
	state.bucket = ratelimit.NewBucket(now, share*state.perSecond, share*state.burst)
}

// Allow charges one request with a number of tokens to an account. It returns 0 if
// the request is allowed, otherwise the time after which to try again. It may block
// for up to replyTimeout per limit.
func (l *Limiter) Allow(account string, tokens int) time.Duration {
	if wait := l.consume(requestLimitPrefix+account, 1); wait > 0 {
		return wait
	}
	if tokens <= 0 {
		return 0
	}
	return l.consume(tokenLimitPrefix+account, tokens)
}

// consume uses units of a limit that are leased already, or leases the missing ones
// now. It returns 0 on success, otherwise the time after which to try again.
func (l *Limiter) consume(key string, units int) time.Duration {
	l.mu.Lock()
	state := l.limits[key]
	if state == nil {
		l.mu.Unlock()
		return 0
	}
	if state.leasedUnits >= units {
		state.leasedUnits -= units
		l.mu.Unlock()
		return 0
	}
	minUnits := units - state.leasedUnits
	maxUnits := minUnits + int(state.perSecond*prefetchTime.Seconds()/float64(max(1, l.knownDaemons)))
	bucketOwner := rendezvous.Owner(key, l.live)
	l.mu.Unlock()
	if bucketOwner == l.Self || bucketOwner == "" {
		granted, wait := l.grantLease(time.Now(), key, minUnits, maxUnits)
		return l.applyLease(key, minUnits, granted, wait)
	}
	reply := l.requestLease(bucketOwner, key, minUnits, maxUnits)
	if reply == nil {
		return l.consumeFallback(key, units)
	}
	return l.applyLease(key, minUnits, int(reply.Units), time.Duration(reply.WaitMs)*time.Millisecond)
}

// applyLease uses granted units for a request and stores the rest. It returns 0, or the
// time after which to try again if fewer than minUnits were granted.
func (l *Limiter) applyLease(key string, minUnits, granted int, wait time.Duration) time.Duration {
	if granted < minUnits {
		return max(wait, time.Millisecond)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if state := l.limits[key]; state != nil {
		// This overwrites what concurrent requests leased or used meanwhile. The next
		// lease makes up for the difference.
		state.leasedUnits = granted - minUnits
	}
	return 0
}

// consumeFallback uses units of the fallback bucket, and creates the bucket if needed.
// It returns 0 on success, otherwise the time after which to try again.
func (l *Limiter) consumeFallback(key string, units int) time.Duration {
	now := time.Now()
	l.mu.Lock()
	state := l.limits[key]
	if state == nil {
		l.mu.Unlock()
		return 0
	}
	if state.fallback == nil {
		perSecond, burst := l.fallbackLimits(state)
		state.fallback = ratelimit.NewBucket(now, perSecond, burst)
	}
	fallback := state.fallback
	l.mu.Unlock()
	granted, wait := fallback.Lease(now, units, units)
	if granted >= units {
		return 0
	}
	return max(wait, time.Millisecond)
}

// grantLease takes between minUnits and maxUnits from a bucket that this daemon owns.
// If it grants none, the duration is the time after which to try again. For a limit that
// does not exist it grants maxUnits.
func (l *Limiter) grantLease(now time.Time, key string, minUnits, maxUnits int) (int, time.Duration) {
	l.mu.Lock()
	state := l.limits[key]
	if state == nil {
		l.mu.Unlock()
		return maxUnits, 0
	}
	if state.bucket == nil {
		share := l.grantShare()
		state.bucket = ratelimit.NewBucket(now, share*state.perSecond, share*state.burst)
	}
	bucket := state.bucket
	l.mu.Unlock()
	return bucket.Lease(now, minUnits, maxUnits)
}

// requestLease requests a lease from the bucket owner. It returns nil if the request
// could not be sent or no reply came within replyTimeout.
func (l *Limiter) requestLease(bucketOwner, key string, minUnits, maxUnits int) *peerpb.LeaseReply {
	replies := make(chan *peerpb.LeaseReply, 1)
	l.mu.Lock()
	l.nextID++
	id := l.nextID
	l.pendingReplies[id] = replies
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.pendingReplies, id)
		l.mu.Unlock()
	}()
	request := &peerpb.LeaseRequest{Id: id, Limit: key, Least: uint32(minUnits), Most: uint32(maxUnits)}
	if l.Send(bucketOwner, &peerpb.Envelope{Body: &peerpb.Envelope_LeaseRequest{LeaseRequest: request}}) != nil {
		return nil
	}
	timer := time.NewTimer(replyTimeout)
	defer timer.Stop()
	select {
	case reply := <-replies:
		return reply
	case <-timer.C:
		return nil
	}
}

// OnMessage handles lease requests and replies of other daemons. It reports whether
// the message was one of them.
func (l *Limiter) OnMessage(from string, m *peerpb.Envelope) bool {
	switch body := m.Body.(type) {
	case *peerpb.Envelope_LeaseRequest:
		request := body.LeaseRequest
		granted, wait := l.grantLease(time.Now(), request.Limit, int(request.Least), int(request.Most))
		reply := &peerpb.LeaseReply{Id: request.Id, Units: uint32(granted), WaitMs: uint32(wait.Milliseconds())}
		// A daemon that gets no reply uses its fallback bucket.
		_ = l.Send(from, &peerpb.Envelope{Body: &peerpb.Envelope_LeaseReply{LeaseReply: reply}})
	case *peerpb.Envelope_LeaseReply:
		l.mu.Lock()
		replies := l.pendingReplies[body.LeaseReply.Id]
		l.mu.Unlock()
		if replies != nil {
			select {
			case replies <- body.LeaseReply:
			default:
			}
		}
	default:
		return false
	}
	return true
}
