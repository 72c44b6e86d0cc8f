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

// demandReportInterval is the time between two demand reports of a daemon. The portion
// that answers a report is valid for 2 s.
const demandReportInterval = time.Second

// Prefixes of limit keys. A limit key is the prefix and the account's name; it identifies
// one of the two limits of an account in messages.
const (
	requestLimitPrefix = "requests/"
	tokenLimitPrefix   = "tokens/"
)

// accountLimiter enforces the limits of client accounts across all daemons. Each limit has
// a divider, the first live daemon of all data centres in rendezvous order, which assigns
// each daemon a portion of the limit according to its demand. Daemons of a data centre that
// is cut off from the divider fall back to their floors, the limit divided by the number of
// live daemons. accountLimiter implements frontend.Limiter and is safe for concurrent use.
type accountLimiter struct {
	self    string
	send    func(to string, m *peerpb.Envelope) error
	liveAll func() []string

	mu sync.Mutex
	// accounts, rates (in units per second) and dividers are keyed by limit key. Only the
	// divider of a limit has an entry in dividers.
	accounts map[string]*ratelimit.Account
	rates    map[string]float64
	dividers map[string]*ratelimit.Divider
	// reportTimes holds the send time of the last report, in Unix milliseconds of the
	// sender's clock, by limit key and daemon.
	reportTimes map[string]map[string]int64
	// live holds the live daemons as of the last tick.
	live []string
}

func newAccountLimiter(self string, send func(string, *peerpb.Envelope) error, liveAll func() []string) *accountLimiter {
	return &accountLimiter{
		self:        self,
		send:        send,
		liveAll:     liveAll,
		accounts:    make(map[string]*ratelimit.Account),
		rates:       make(map[string]float64),
		dividers:    make(map[string]*ratelimit.Divider),
		reportTimes: make(map[string]map[string]int64),
	}
}

// setConfig installs the limits of a configuration and removes those that it lacks.
func (l *accountLimiter) setConfig(set *object.Set) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rates = make(map[string]float64)
	for i := range set.ClientAccounts {
		a := &set.ClientAccounts[i]
		l.setLimit(now, requestLimitPrefix+a.Name, a.RequestsPerSecond)
		l.setLimit(now, tokenLimitPrefix+a.Name, a.TokensPerSecond)
	}
	for key := range l.accounts {
		if l.rates[key] == 0 {
			delete(l.accounts, key)
			delete(l.dividers, key)
		}
	}
}

// setLimit installs one limit, in units per second; 0 means no limit. The caller holds mu.
func (l *accountLimiter) setLimit(now time.Time, key string, rate float64) {
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

// Allow implements frontend.Limiter. It charges one request with a number of tokens to the
// account. A positive result refuses the request and is the time after which to retry.
func (l *accountLimiter) Allow(account string, tokens int) time.Duration {
	now := time.Now()
	l.mu.Lock()
	requestAccount := l.accounts[requestLimitPrefix+account]
	tokenAccount := l.accounts[tokenLimitPrefix+account]
	l.mu.Unlock()
	if requestAccount != nil && !requestAccount.Allow(now, 1) {
		return max(time.Millisecond, requestAccount.RetryAfter(now, 1))
	}
	if tokenAccount != nil && tokens > 0 && !tokenAccount.Allow(now, tokens) {
		return max(time.Millisecond, tokenAccount.RetryAfter(now, tokens))
	}
	return 0
}

// run sends demand reports and portions until the context ends. It returns nil.
func (l *accountLimiter) run(ctx context.Context) error {
	return ctxtime.RunEvery(ctx, demandReportInterval, l.tick)
}

// tick updates the floors when the live daemons changed, and sends the demand reports and
// portions of one interval.
func (l *accountLimiter) tick(now time.Time) {
	live := l.liveAll()
	l.mu.Lock()
	changed := !slices.Equal(live, l.live)
	l.live = live
	demands := make(map[string]float64, len(l.accounts))
	for key, a := range l.accounts {
		if changed {
			a.SetFloor(now, l.rates[key], max(1, len(live)))
		}
		if demand := a.UpdateDemand(now); demand > 0 {
			demands[key] = demand
		}
	}
	l.mu.Unlock()
	for key, demand := range demands {
		l.sendDemand(now, key, demand, live)
	}
	l.sendPortions(now, live)
}

// sendDemand reports the demand for a limit on this daemon, in units per second, to the
// limit's divider. tick calls it only for limits with demand.
func (l *accountLimiter) sendDemand(now time.Time, key string, demand float64, live []string) {
	dividerName := rendezvous.Owner(key, live)
	m := &peerpb.LimitDemand{Account: key, PerSecond: demand, SentMs: now.UnixMilli()}
	// If the report is lost, the portion expires and the daemon falls back to its floor.
	_ = l.send(dividerName, &peerpb.Envelope{Body: &peerpb.Envelope_LimitDemand{LimitDemand: m}})
}

// sendPortions sends every daemon its portion of each limit that this daemon divides. It
// drops dividers of limits that another daemon divides now.
func (l *accountLimiter) sendPortions(now time.Time, live []string) {
	l.mu.Lock()
	var portions []outgoingPortion
	for key, d := range l.dividers {
		if rendezvous.Owner(key, live) != l.self {
			delete(l.dividers, key)
			delete(l.reportTimes, key)
			continue
		}
		d.SetDaemons(live)
		for _, p := range d.Divide(now) {
			portions = append(portions, outgoingPortion{key: key, portion: p, sentMs: l.reportTimes[key][p.Daemon]})
		}
	}
	l.mu.Unlock()
	for _, o := range portions {
		m := &peerpb.LimitPortion{Account: o.key, PerSecond: o.portion.PerSecond, SentMs: o.sentMs}
		_ = l.send(o.portion.Daemon, &peerpb.Envelope{Body: &peerpb.Envelope_LimitPortion{LimitPortion: m}})
	}
}

// outgoingPortion is a portion to send, with the send time of the report that it answers.
type outgoingPortion struct {
	key     string
	portion ratelimit.Portion
	sentMs  int64
}

// onMessage handles demand reports and portions and ignores other messages.
func (l *accountLimiter) onMessage(from string, m *peerpb.Envelope) {
	now := time.Now()
	switch body := m.Body.(type) {
	case *peerpb.Envelope_LimitDemand:
		l.onDemand(now, from, body.LimitDemand)
	case *peerpb.Envelope_LimitPortion:
		l.onPortion(now, body.LimitPortion)
	}
}

// onDemand records a demand report if this daemon is the divider of the limit.
func (l *accountLimiter) onDemand(now time.Time, from string, m *peerpb.LimitDemand) {
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
	sentTimes := l.reportTimes[m.Account]
	if sentTimes == nil {
		sentTimes = make(map[string]int64)
		l.reportTimes[m.Account] = sentTimes
	}
	sentTimes[from] = m.SentMs
}

// onPortion applies a portion. It is valid from the time at which this daemon sent the
// report that the portion answers, by this daemon's own clock.
func (l *accountLimiter) onPortion(now time.Time, m *peerpb.LimitPortion) {
	l.mu.Lock()
	a := l.accounts[m.Account]
	l.mu.Unlock()
	if a != nil {
		a.SetPortion(now, m.PerSecond, time.UnixMilli(m.SentMs))
	}
}

// requestPortion returns the requests per second that this daemon may accept from an
// account, or 0 if the account has no request limit.
func (l *accountLimiter) requestPortion(account string) float64 {
	l.mu.Lock()
	a := l.accounts[requestLimitPrefix+account]
	l.mu.Unlock()
	if a == nil {
		return 0
	}
	return a.Rate(time.Now())
}
