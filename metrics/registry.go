package metrics

import (
	"encoding/json"
	"expvar"
	"sync"
	"sync/atomic"
	"time"
)

// OtherValue is the label value that stands for all values beyond a bound.
const OtherValue = "other"

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

// Labels holds the label values of a request.
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
	limits    Limits
	variables expvar.Map

	// series holds a *Series by Labels as given by callers.
	series sync.Map

	mu          sync.Mutex
	labelValues [labelCount]map[string]bool
	histograms  [labelCount]map[string]*durationHistograms
	counters    map[counterKey]*atomic.Int64
	// cachedSeries counts the entries of series. Keys come from callers, so the
	// number of entries is bounded by maxSeries.
	cachedSeries int
}

// label identifies a dimension of the metrics.
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

// durationHistograms holds the histograms of one label value.
type durationHistograms struct {
	firstToken, tokenGap, total, queueWait *Histogram
}

// New returns an empty registry. Limits of zero or less are replaced by those of
// DefaultLimits.
func New(limits Limits) *Registry {
	r := &Registry{limits: withDefaults(limits), counters: map[counterKey]*atomic.Int64{}}
	for i := range labelCount {
		r.labelValues[i] = map[string]bool{}
		r.histograms[i] = map[string]*durationHistograms{}
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

// Series records the metrics of requests with the same labels. Callers look it up
// once per request. All methods are safe for concurrent use.
type Series struct {
	registry   *Registry
	labels     Labels
	histograms [3]*durationHistograms
	counters   sync.Map // Outcome -> *atomic.Int64
}

// Series returns the series for the labels. Label values beyond the registry's
// limits are replaced by OtherValue.
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
		Tier:    r.boundValue(tierLabel, l.Tier, r.limits.Tiers),
		Account: r.boundValue(accountLabel, l.Account, r.limits.Accounts),
		Service: r.boundValue(serviceLabel, l.Service, r.limits.Services),
	}
	s := &Series{registry: r, labels: bounded}
	s.histograms[0] = r.histogramsOf(tierLabel, bounded.Tier)
	s.histograms[1] = r.histogramsOf(accountLabel, bounded.Account)
	s.histograms[2] = r.histogramsOf(serviceLabel, bounded.Service)
	if r.cachedSeries < maxSeries {
		r.cachedSeries++
		r.series.Store(l, s)
	}
	return s
}

// boundValue returns the value, or OtherValue when limit other values are in use
// already. The caller holds r.mu.
func (r *Registry) boundValue(name label, value string, limit int) string {
	values := r.labelValues[name]
	if values[value] {
		return value
	}
	if value == OtherValue || len(values) >= limit {
		return OtherValue
	}
	values[value] = true
	return value
}

// histogramsOf returns the histograms of a label value and creates them if needed.
// The caller holds r.mu.
func (r *Registry) histogramsOf(name label, value string) *durationHistograms {
	h := r.histograms[name][value]
	if h == nil {
		h = &durationHistograms{NewHistogram(), NewHistogram(), NewHistogram(), NewHistogram()}
		r.histograms[name][value] = h
	}
	return h
}

// Count counts one request by its outcome.
func (s *Series) Count(o Outcome) {
	if c, ok := s.counters.Load(o); ok {
		c.(*atomic.Int64).Add(1)
		return
	}
	s.registry.counter(s, o).Add(1)
}

// counter returns the counter of the series and outcome and creates it if needed.
func (r *Registry) counter(s *Series, o Outcome) *atomic.Int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	bounded := Outcome(r.boundValue(outcomeLabel, string(o), r.limits.Outcomes))
	key := counterKey{s.labels, bounded}
	c := r.counters[key]
	if c == nil {
		c = &atomic.Int64{}
		r.counters[key] = c
	}
	if bounded == o {
		s.counters.Store(o, c)
	}
	return c
}

// RecordFirstToken records the time from the request's arrival to its first token.
func (s *Series) RecordFirstToken(d time.Duration) {
	for _, h := range s.histograms {
		h.firstToken.Record(d)
	}
}

// RecordTokenGap records the time between two consecutive tokens.
func (s *Series) RecordTokenGap(d time.Duration) {
	for _, h := range s.histograms {
		h.tokenGap.Record(d)
	}
}

// RecordTotal records the time from the request's arrival to its end.
func (s *Series) RecordTotal(d time.Duration) {
	for _, h := range s.histograms {
		h.total.Record(d)
	}
}

// RecordQueueWait records the time from the request's arrival to its dispatch.
func (s *Series) RecordQueueWait(d time.Duration) {
	for _, h := range s.histograms {
		h.queueWait.Record(d)
	}
}

// Set adds or replaces a variable that is published beside the request metrics.
func (r *Registry) Set(name string, v expvar.Var) {
	r.variables.Set(name, v)
}

// Add adds n to a counter that is published beside the request metrics.
func (r *Registry) Add(name string, n int64) {
	r.variables.Add(name, n)
}

// Rotate starts a new interval for all quantiles.
func (r *Registry) Rotate() {
	r.visitHistograms(func(_ label, _ string, histograms *durationHistograms) {
		for _, h := range []*Histogram{histograms.firstToken, histograms.tokenGap, histograms.total, histograms.queueWait} {
			h.Rotate()
		}
	})
}

// visitHistograms calls visit for the histograms of every label value, without
// holding r.mu during the calls.
func (r *Registry) visitHistograms(visit func(name label, value string, histograms *durationHistograms)) {
	type labeledHistograms struct {
		name       label
		value      string
		histograms *durationHistograms
	}
	var entries []labeledHistograms
	r.mu.Lock()
	for name := range labelCount {
		for value, h := range r.histograms[name] {
			entries = append(entries, labeledHistograms{name, value, h})
		}
	}
	r.mu.Unlock()
	for _, e := range entries {
		visit(e.name, e.value, e.histograms)
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

// String returns all metrics as JSON, or "{}" when they cannot be encoded. It
// implements expvar.Var.
func (r *Registry) String() string {
	data, err := json.Marshal(r.Snapshot())
	if err != nil {
		return "{}"
	}
	return string(data)
}
