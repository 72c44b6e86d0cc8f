// Package quota holds client accounts to their limits over all daemons. Each
// limit has one bucket, kept by the first live daemon by rank; the other daemons
// lease units from it for the requests that they take, and a few more while the
// bucket is well filled. Small accounts thus have one bucket and not a part of it
// in each daemon, in which a long request hardly fits.
//
// A daemon that gets no answer uses a bucket of its own with its part of the
// limit. A keeper that sees less than half of the daemons that it knew hands out
// only their part, since another keeper may serve the rest.
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
	// replyTimeout bounds the wait for a keeper: several round trips between
	// regions, and far below the time in which answers are due.
	replyTimeout = 150 * time.Millisecond
	// prefetchTime is the time for which a daemon leases its even part of a rate in
	// advance.
	prefetchTime = 250 * time.Millisecond
	// memoryTime is how long daemons that are gone count as known.
	memoryTime = 30 * time.Second
	// tickInterval is how often the live daemons are looked at.
	tickInterval = 200 * time.Millisecond
	// ownShare is the part of an even share of the burst that a daemon uses when
	// the keeper does not answer.
	ownShare = 0.5
	// minority is the part of the known daemons below which a keeper hands out only
	// the part of those that it sees.
	minority = 0.5
)

// Names of the two limits of an account.
const (
	requestLimit = "requests/"
	tokenLimit   = "tokens/"
)

// Config holds the parts of a Limiter. All are required.
type Config struct {
	Self string
	Send func(to string, m *peerpb.Envelope) error
	// LiveAll returns the live daemons of all data centres, in name order.
	LiveAll func() []string
	// Bucket returns the rate and the size, in units, of the bucket for a limit.
	Bucket func(account *object.ClientAccount, perSecond float64) (rate, burst float64)
}

// Limiter leases and keeps buckets. Its methods are safe for concurrent use.
type Limiter struct {
	Config

	mu      sync.Mutex
	limits  map[string]*limit
	live    []string
	known   int
	knownAt time.Time
	pending map[uint64]chan *peerpb.LeaseReply
	nextID  uint64
}

// limit is one limit of one account.
type limit struct {
	perSecond, burst float64
	// units were leased and not yet used.
	units int
	// kept is set while this daemon keeps the limit's bucket.
	kept *ratelimit.Bucket
	// own serves while no keeper answers.
	own *ratelimit.Bucket
}

// New returns a duty without limits.
func New(config Config) *Limiter {
	return &Limiter{Config: config, limits: make(map[string]*limit), pending: make(map[uint64]chan *peerpb.LeaseReply)}
}

// SetConfig takes the limits of a configuration.
func (d *Limiter) SetConfig(set *object.Set) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.limits
	d.limits = make(map[string]*limit)
	for i := range set.ClientAccounts {
		a := &set.ClientAccounts[i]
		d.setLimit(now, old, requestLimit+a.Name, a, a.RequestsPerSecond)
		d.setLimit(now, old, tokenLimit+a.Name, a, a.TokensPerSecond)
	}
}

func (d *Limiter) setLimit(now time.Time, old map[string]*limit, key string, a *object.ClientAccount, perSecond float64) {
	if perSecond <= 0 {
		return
	}
	l := old[key]
	if l == nil {
		l = &limit{}
	}
	d.limits[key] = l
	rate, burst := d.Bucket(a, perSecond)
	if l.perSecond == rate && l.burst == burst {
		return
	}
	l.perSecond, l.burst = rate, burst
	l.units = 0
	d.setRates(now, l)
	d.keep(now, key, l)
}

// setRates gives the buckets of a limit their rates. The caller holds the lock.
func (d *Limiter) setRates(now time.Time, l *limit) {
	if l.kept != nil {
		part := d.part()
		l.kept.SetRate(now, part*l.perSecond, part*l.burst)
	}
	if l.own != nil {
		perSecond, burst := d.ownPart(l)
		l.own.SetRate(now, perSecond, burst)
	}
}

// ownPart is what this daemon may take of a limit while no keeper answers.
func (d *Limiter) ownPart(l *limit) (perSecond, burst float64) {
	each := float64(max(1, d.known))
	return l.perSecond / each, ownShare * l.burst / each
}

// part is the part of a limit that a keeper may hand out.
func (d *Limiter) part() float64 {
	if d.known == 0 {
		return 1
	}
	seen := float64(len(d.live)) / float64(d.known)
	if seen < minority {
		return seen
	}
	return 1
}

// Run follows the live daemons until the context ends.
func (d *Limiter) Run(ctx context.Context) error {
	return ctxtime.RunEvery(ctx, tickInterval, d.tick)
}

func (d *Limiter) tick(now time.Time) {
	everyone := d.LiveAll()
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(everyone) >= d.known || now.Sub(d.knownAt) > memoryTime {
		d.known, d.knownAt = len(everyone), now
	}
	if slices.Equal(everyone, d.live) {
		return
	}
	d.live = everyone
	for key, l := range d.limits {
		if l.kept != nil && rendezvous.Owner(key, d.live) != d.Self {
			l.kept = nil
		}
		d.setRates(now, l)
		d.keep(now, key, l)
	}
}

// keep makes the bucket of a limit that this daemon keeps, so that it fills before
// the first request. The caller holds the lock.
func (d *Limiter) keep(now time.Time, key string, l *limit) {
	if l.kept != nil || rendezvous.Owner(key, d.live) != d.Self {
		return
	}
	part := d.part()
	l.kept = ratelimit.NewBucket(now, part*l.perSecond, part*l.burst)
}

// Allow takes one request of so many tokens; a positive wait refuses it.
func (d *Limiter) Allow(account string, tokens int) time.Duration {
	if wait := d.take(requestLimit+account, 1); wait > 0 {
		return wait
	}
	if tokens <= 0 {
		return 0
	}
	return d.take(tokenLimit+account, tokens)
}

// take uses units of a limit, leased before or now.
func (d *Limiter) take(key string, units int) time.Duration {
	d.mu.Lock()
	l := d.limits[key]
	if l == nil {
		d.mu.Unlock()
		return 0
	}
	if l.units >= units {
		l.units -= units
		d.mu.Unlock()
		return 0
	}
	least := units - l.units
	most := least + int(l.perSecond*prefetchTime.Seconds()/float64(max(1, d.known)))
	keeper := rendezvous.Owner(key, d.live)
	d.mu.Unlock()
	if keeper == d.Self || keeper == "" {
		granted, wait := d.lease(time.Now(), key, least, most)
		return d.settle(key, least, granted, wait)
	}
	reply := d.ask(keeper, key, least, most)
	if reply == nil {
		return d.takeOwn(key, units)
	}
	return d.settle(key, least, int(reply.Units), time.Duration(reply.WaitMs)*time.Millisecond)
}

// settle adds leased units, uses up those of a request, and returns its wait.
func (d *Limiter) settle(key string, least, granted int, wait time.Duration) time.Duration {
	if granted < least {
		return max(wait, time.Millisecond)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if l := d.limits[key]; l != nil {
		// Units that others used meanwhile are made up for by the next lease.
		l.units = granted - least
	}
	return 0
}

// takeOwn uses the bucket of this daemon alone.
func (d *Limiter) takeOwn(key string, units int) time.Duration {
	now := time.Now()
	d.mu.Lock()
	l := d.limits[key]
	if l == nil {
		d.mu.Unlock()
		return 0
	}
	if l.own == nil {
		perSecond, burst := d.ownPart(l)
		l.own = ratelimit.NewBucket(now, perSecond, burst)
	}
	own := l.own
	d.mu.Unlock()
	granted, wait := own.Lease(now, units, units)
	if granted >= units {
		return 0
	}
	return max(wait, time.Millisecond)
}

// lease takes units from a bucket that this daemon keeps.
func (d *Limiter) lease(now time.Time, key string, least, most int) (int, time.Duration) {
	d.mu.Lock()
	l := d.limits[key]
	if l == nil {
		d.mu.Unlock()
		return most, 0
	}
	if l.kept == nil {
		part := d.part()
		l.kept = ratelimit.NewBucket(now, part*l.perSecond, part*l.burst)
	}
	kept := l.kept
	d.mu.Unlock()
	return kept.Lease(now, least, most)
}

// ask requests a lease from the keeper; nil is no answer in time.
func (d *Limiter) ask(keeper, key string, least, most int) *peerpb.LeaseReply {
	replies := make(chan *peerpb.LeaseReply, 1)
	d.mu.Lock()
	d.nextID++
	id := d.nextID
	d.pending[id] = replies
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(d.pending, id)
		d.mu.Unlock()
	}()
	request := &peerpb.LeaseRequest{Id: id, Limit: key, Least: uint32(least), Most: uint32(most)}
	if d.Send(keeper, &peerpb.Envelope{Body: &peerpb.Envelope_LeaseRequest{LeaseRequest: request}}) != nil {
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

// OnMessage takes requests and replies of other daemons. It says whether the
// message was one of them.
func (d *Limiter) OnMessage(from string, m *peerpb.Envelope) bool {
	switch body := m.Body.(type) {
	case *peerpb.Envelope_LeaseRequest:
		r := body.LeaseRequest
		granted, wait := d.lease(time.Now(), r.Limit, int(r.Least), int(r.Most))
		reply := &peerpb.LeaseReply{Id: r.Id, Units: uint32(granted), WaitMs: uint32(wait.Milliseconds())}
		// Without the reply, the other daemon uses its own part.
		_ = d.Send(from, &peerpb.Envelope{Body: &peerpb.Envelope_LeaseReply{LeaseReply: reply}})
	case *peerpb.Envelope_LeaseReply:
		d.mu.Lock()
		replies := d.pending[body.LeaseReply.Id]
		d.mu.Unlock()
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
