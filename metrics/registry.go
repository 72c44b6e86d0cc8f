package metrics

import (
	"encoding/json"
	"expvar"
	"sync"
	"sync/atomic"
	"time"
)

// Other is the label value that stands for all values beyond a bound.
const Other = "other"

// Outcome says how a request ended.
type Outcome string

// Outcomes of requests.
const (
	// Done: the caller received the complete answer.
	Done Outcome = "done"
	// Failed: the request was accepted and ended with an error.
	Failed Outcome = "failed"
	// Unknown: the request may or may not have run.
	Unknown Outcome = "unknown"
	// Canceled: the caller went away.
	Canceled Outcome = "canceled"
	// Shed: refused for lack of capacity.
	Shed Outcome = "shed"
	// Late: refused because it could not meet its deadline on an idle target.
	Late Outcome = "late"
	// Limited: refused because of the client account's limit.
	Limited Outcome = "limited"
	// Quarantined: refused because its fingerprint crashes targets.
	Quarantined Outcome = "quarantined"
	// Invalid: refused as malformed, unauthenticated or not permitted.
	Invalid Outcome = "invalid"
	// Unavailable: refused because the daemon or the store cannot serve it.
	Unavailable Outcome = "unavailable"
)

// Labels says whose request it is.
type Labels struct {
	Tier    string
	Account string
	Service string
}

// Limits bound the number of values per label.
type Limits struct {
	Tiers    int
	Accounts int
	Services int
	Outcomes int
}

// DefaultLimits keep all histograms of a daemon below 10 MB.
var DefaultLimits = Limits{Tiers: 16, Accounts: 32, Services: 16, Outcomes: 16}

// Registry holds the metrics of one daemon. It is an expvar.Var. All methods
// are safe for concurrent use.
type Registry struct {
	limits Limits
	extra  expvar.Map

	// series holds a *Series by Labels as given by callers.
	series sync.Map

	mu         sync.Mutex
	names      [labelCount]map[string]bool
	histograms [labelCount]map[string]*times
	counters   map[counterKey]*atomic.Int64
	// known bounds the entries of series, whose keys come from callers.
	known int
}

// label is a dimension of the metrics.
type label int

const (
	tierLabel label = iota
	accountLabel
	serviceLabel
	outcomeLabel
	labelCount
)

// maxSeries bounds the cache of series. It exceeds the product of the accounts
// and services that are counted separately.
const maxSeries = 4096

type counterKey struct {
	labels  Labels
	outcome Outcome
}

// times holds the histograms of one label value.
type times struct {
	firstToken, tokenGap, total, queueWait *Histogram
}

// New returns an empty registry. Limits of zero take the defaults.
func New(limits Limits) *Registry {
	r := &Registry{limits: withDefaults(limits), counters: map[counterKey]*atomic.Int64{}}
	for i := range labelCount {
		r.names[i] = map[string]bool{}
		r.histograms[i] = map[string]*times{}
	}
	return r
}

func withDefaults(l Limits) Limits {
	for _, pair := range []struct{ value, fallback *int }{
		{&l.Tiers, &DefaultLimits.Tiers},
		{&l.Accounts, &DefaultLimits.Accounts},
		{&l.Services, &DefaultLimits.Services},
		{&l.Outcomes, &DefaultLimits.Outcomes},
	} {
		if *pair.value <= 0 {
			*pair.value = *pair.fallback
		}
	}
	return l
}

// Series records the metrics of requests with the same labels. Callers fetch it
// once per request. All methods are safe for concurrent use.
type Series struct {
	registry *Registry
	labels   Labels
	parts    [3]*times
	outcomes sync.Map // Outcome -> *atomic.Int64
}

// Series returns the series of the labels, after bounding them.
func (r *Registry) Series(l Labels) *Series {
	if s, ok := r.series.Load(l); ok {
		return s.(*Series)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, ok := r.series.Load(l); ok {
		return s.(*Series)
	}
	bounded := Labels{
		Tier:    r.bound(tierLabel, l.Tier, r.limits.Tiers),
		Account: r.bound(accountLabel, l.Account, r.limits.Accounts),
		Service: r.bound(serviceLabel, l.Service, r.limits.Services),
	}
	s := &Series{registry: r, labels: bounded}
	s.parts[0] = r.timesOf(tierLabel, bounded.Tier)
	s.parts[1] = r.timesOf(accountLabel, bounded.Account)
	s.parts[2] = r.timesOf(serviceLabel, bounded.Service)
	if r.known < maxSeries {
		r.known++
		r.series.Store(l, s)
	}
	return s
}

// bound returns the value, or Other when limit values are in use already. The
// caller holds the lock.
func (r *Registry) bound(of label, value string, limit int) string {
	names := r.names[of]
	if names[value] {
		return value
	}
	if value == Other || len(names) >= limit {
		return Other
	}
	names[value] = true
	return value
}

// timesOf returns the histograms of a label value. The caller holds the lock.
func (r *Registry) timesOf(of label, value string) *times {
	t := r.histograms[of][value]
	if t == nil {
		t = &times{NewHistogram(), NewHistogram(), NewHistogram(), NewHistogram()}
		r.histograms[of][value] = t
	}
	return t
}

// Count counts one request by its outcome.
func (s *Series) Count(o Outcome) {
	if c, ok := s.outcomes.Load(o); ok {
		c.(*atomic.Int64).Add(1)
		return
	}
	s.registry.counter(s, o).Add(1)
}

func (r *Registry) counter(s *Series, o Outcome) *atomic.Int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	bounded := Outcome(r.bound(outcomeLabel, string(o), r.limits.Outcomes))
	key := counterKey{s.labels, bounded}
	c := r.counters[key]
	if c == nil {
		c = &atomic.Int64{}
		r.counters[key] = c
	}
	if bounded == o {
		s.outcomes.Store(o, c)
	}
	return c
}

// RecordFirstToken records the time from the request's arrival to its first token.
func (s *Series) RecordFirstToken(d time.Duration) {
	for _, t := range s.parts {
		t.firstToken.Record(d)
	}
}

// RecordTokenGap records the time between two tokens.
func (s *Series) RecordTokenGap(d time.Duration) {
	for _, t := range s.parts {
		t.tokenGap.Record(d)
	}
}

// RecordTotal records the time from the request's arrival to its end.
func (s *Series) RecordTotal(d time.Duration) {
	for _, t := range s.parts {
		t.total.Record(d)
	}
}

// RecordQueueWait records the time from the request's arrival to its dispatch.
func (s *Series) RecordQueueWait(d time.Duration) {
	for _, t := range s.parts {
		t.queueWait.Record(d)
	}
}

// Set adds or replaces a variable that is shown beside the request metrics.
func (r *Registry) Set(name string, v expvar.Var) {
	r.extra.Set(name, v)
}

// Add adds to a counter that is shown beside the request metrics.
func (r *Registry) Add(name string, n int64) {
	r.extra.Add(name, n)
}

// Rotate starts a new interval for all quantiles.
func (r *Registry) Rotate() {
	r.eachTimes(func(_ label, _ string, t *times) {
		for _, h := range []*Histogram{t.firstToken, t.tokenGap, t.total, t.queueWait} {
			h.Rotate()
		}
	})
}

// eachTimes visits all histograms without holding the lock during visits.
func (r *Registry) eachTimes(visit func(of label, value string, t *times)) {
	type entry struct {
		of    label
		value string
		t     *times
	}
	var entries []entry
	r.mu.Lock()
	for of := range labelCount {
		for value, t := range r.histograms[of] {
			entries = append(entries, entry{of, value, t})
		}
	}
	r.mu.Unlock()
	for _, e := range entries {
		visit(e.of, e.value, e.t)
	}
}

// RequestCount is the number of requests with the same labels and outcome.
type RequestCount struct {
	Tier    string  `json:"tier"`
	Account string  `json:"account"`
	Service string  `json:"service"`
	Outcome Outcome `json:"outcome"`
	Count   int64   `json:"count"`
}

// String returns all metrics as JSON. It makes Registry an expvar.Var.
func (r *Registry) String() string {
	data, err := json.Marshal(r.Snapshot())
	if err != nil {
		return "{}"
	}
	return string(data)
}
