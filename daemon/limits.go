package daemon

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

// limitInterval is the time between reports of demand; a portion is valid for 2 s.
const limitInterval = time.Second

// limitKinds tell the two limits of an account apart in messages.
const (
	requestLimit = "requests/"
	tokenLimit   = "tokens/"
)

// limits holds the client accounts to their limits over all daemons. The divider
// of an account is the first live daemon by rank over all data centres; a data
// centre that is cut off falls to its floors. It implements frontend.Limiter and
// is safe for concurrent use.
type limits struct {
	self     string
	send     func(to string, m *peerpb.Envelope) error
	everyone func() []string

	mu       sync.Mutex
	accounts map[string]*ratelimit.Account
	rates    map[string]float64
	dividers map[string]*ratelimit.Divider
	// reports holds the send times of the last reports, by limit and daemon.
	reports map[string]map[string]int64
	live    []string
}

func newLimits(self string, send func(string, *peerpb.Envelope) error, everyone func() []string) *limits {
	return &limits{
		self:     self,
		send:     send,
		everyone: everyone,
		accounts: make(map[string]*ratelimit.Account),
		rates:    make(map[string]float64),
		dividers: make(map[string]*ratelimit.Divider),
		reports:  make(map[string]map[string]int64),
	}
}

// setConfig takes the limits of a configuration.
func (l *limits) setConfig(set *object.Set) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rates = make(map[string]float64)
	for i := range set.ClientAccounts {
		a := &set.ClientAccounts[i]
		l.setRate(now, requestLimit+a.Name, a.RequestsPerSecond)
		l.setRate(now, tokenLimit+a.Name, a.TokensPerSecond)
	}
	for key := range l.accounts {
		if l.rates[key] == 0 {
			delete(l.accounts, key)
			delete(l.dividers, key)
		}
	}
}

// setRate installs one limit; 0 is none. The caller holds the lock.
func (l *limits) setRate(now time.Time, key string, rate float64) {
	if rate <= 0 {
		return
	}
	l.rates[key] = rate
	daemons := max(1, len(l.live))
	if a := l.accounts[key]; a != nil {
		a.SetFloor(now, rate, daemons)
	} else {
		l.accounts[key] = ratelimit.NewAccount(now, rate, daemons)
	}
	if d := l.dividers[key]; d != nil {
		d.SetLimit(rate)
	}
}

// Allow takes one request of so many tokens; a positive wait refuses it.
func (l *limits) Allow(account string, tokens int) time.Duration {
	now := time.Now()
	l.mu.Lock()
	requests := l.accounts[requestLimit+account]
	byToken := l.accounts[tokenLimit+account]
	l.mu.Unlock()
	if requests != nil && !requests.Allow(now, 1) {
		return max(time.Millisecond, requests.RetryAfter(now, 1))
	}
	if byToken != nil && tokens > 0 && !byToken.Allow(now, tokens) {
		return max(time.Millisecond, byToken.RetryAfter(now, tokens))
	}
	return 0
}

// run reports demand and divides limits until the context ends.
func (l *limits) run(ctx context.Context) error {
	return ctxtime.RunEvery(ctx, limitInterval, l.tick)
}

func (l *limits) tick(now time.Time) {
	everyone := l.everyone()
	l.mu.Lock()
	changed := !slices.Equal(everyone, l.live)
	l.live = everyone
	reports := make(map[string]float64, len(l.accounts))
	for key, a := range l.accounts {
		if changed {
			a.SetFloor(now, l.rates[key], max(1, len(everyone)))
		}
		if demand := a.Demand(now); demand > 0 {
			reports[key] = demand
		}
	}
	l.mu.Unlock()
	for key, demand := range reports {
		l.report(now, key, demand, everyone)
	}
	l.divide(now, everyone)
}

// report tells the divider of a limit how much is asked for here. An account
// without demand sends nothing.
func (l *limits) report(now time.Time, key string, demand float64, everyone []string) {
	divider := rendezvous.Owner(key, everyone)
	m := &peerpb.LimitDemand{Account: key, PerSecond: demand, SentMs: now.UnixMilli()}
	// A report that is lost leaves the portion to expire.
	_ = l.send(divider, &peerpb.Envelope{Body: &peerpb.Envelope_LimitDemand{LimitDemand: m}})
}

// divide hands out the portions of the limits that this daemon divides.
func (l *limits) divide(now time.Time, everyone []string) {
	l.mu.Lock()
	var out []handedOut
	for key, d := range l.dividers {
		if rendezvous.Owner(key, everyone) != l.self {
			delete(l.dividers, key)
			delete(l.reports, key)
			continue
		}
		d.SetDaemons(everyone)
		for _, p := range d.Divide(now) {
			out = append(out, handedOut{key: key, portion: p, sentMs: l.reports[key][p.Daemon]})
		}
	}
	l.mu.Unlock()
	for _, h := range out {
		m := &peerpb.LimitPortion{Account: h.key, PerSecond: h.portion.PerSecond, SentMs: h.sentMs}
		_ = l.send(h.portion.Daemon, &peerpb.Envelope{Body: &peerpb.Envelope_LimitPortion{LimitPortion: m}})
	}
}

// handedOut is a portion on its way to a daemon.
type handedOut struct {
	key     string
	portion ratelimit.Portion
	sentMs  int64
}

// onMessage takes reports and portions.
func (l *limits) onMessage(from string, m *peerpb.Envelope) {
	now := time.Now()
	switch body := m.Body.(type) {
	case *peerpb.Envelope_LimitDemand:
		l.onDemand(now, from, body.LimitDemand)
	case *peerpb.Envelope_LimitPortion:
		l.onPortion(now, body.LimitPortion)
	}
}

// onDemand records a report when this daemon divides the limit.
func (l *limits) onDemand(now time.Time, from string, m *peerpb.LimitDemand) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rate := l.rates[m.Account]
	if rate == 0 || rendezvous.Owner(m.Account, l.live) != l.self {
		return
	}
	d := l.dividers[m.Account]
	if d == nil {
		d = ratelimit.NewDivider(now, rate, l.live)
		l.dividers[m.Account] = d
	}
	d.Report(now, from, m.PerSecond)
	sent := l.reports[m.Account]
	if sent == nil {
		sent = make(map[string]int64)
		l.reports[m.Account] = sent
	}
	sent[from] = m.SentMs
}

// onPortion applies a portion. Its validity counts from the time at which this
// daemon sent the report that it answers, by this daemon's own clock.
func (l *limits) onPortion(now time.Time, m *peerpb.LimitPortion) {
	l.mu.Lock()
	a := l.accounts[m.Account]
	l.mu.Unlock()
	if a != nil {
		a.SetPortion(now, m.PerSecond, time.UnixMilli(m.SentMs))
	}
}

// portion returns the requests per second that this daemon may take of an account.
func (l *limits) portion(account string) float64 {
	l.mu.Lock()
	a := l.accounts[requestLimit+account]
	l.mu.Unlock()
	if a == nil {
		return 0
	}
	return a.Rate(time.Now())
}
