package rollout

import (
	"sync"
	"time"
)

// loadLevels is the number of load levels: each covers a quarter of a target's
// slots.
const loadLevels = 4

// LoadLevel returns the load level, from 0 to 3, of a target that runs inFlight
// requests on its slots. It is 0 when the number of slots is not known.
func LoadLevel(inFlight, slots int) uint32 {
	if slots <= 0 {
		return 0
	}
	return uint32(min(max(inFlight, 0)*loadLevels/slots, loadLevels-1))
}

// Observation describes one answer as seen by the entry of the request.
type Observation struct {
	Service string
	Version string
	Route   string
	Target  string
	// Load is the target's load level when the request was sent (LoadLevel).
	Load uint32
	// Failed says that the target gave no valid answer. Refusals for lack of
	// capacity and requests that the caller gave up are not failures of the version.
	Failed bool
	// Latency is the time to the first token, or to the whole answer of a plain
	// service. An answer with 0 is never counted as slow.
	Latency time.Duration
	// Pace is the mean time between two events of a streamed answer; 0 means none.
	Pace time.Duration
	// Expected is the estimated latency of a request of this length on the old
	// version. With an estimate, the ratio of Latency to it decides whether the
	// answer is slow; with 0, Latency alone does.
	Expected time.Duration
}

// Collector counts the answers that one entry observes while moves are in
// progress. It is safe for concurrent use.
type Collector struct {
	trafficSplit *TrafficSplit
	origin       string

	mu           sync.Mutex
	attempts     map[attemptKey]*attemptCounts
	oldLatencies map[routeKey]*histogram // latency ratios of the old version
	oldPaces     map[routeKey]*histogram // paces of the old version, in milliseconds
	sequence     uint64
}

type attemptKey struct {
	move    string
	attempt int
}

type routeKey struct {
	service, route string
}

// countsKey identifies the counts of one version in one stratum.
type countsKey struct {
	version string
	stratum stratum
}

// attemptCounts holds the counts of one attempt since the last Drain.
type attemptCounts struct {
	strata map[countsKey]*StratumCounts
}

// NewCollector returns a collector for the moves that trafficSplit knows. The origin
// must be unique to this run of the daemon, such as its name and incarnation.
func NewCollector(trafficSplit *TrafficSplit, origin string) *Collector {
	return &Collector{
		trafficSplit: trafficSplit,
		origin:       origin,
		attempts:     make(map[attemptKey]*attemptCounts),
		oldLatencies: make(map[routeKey]*histogram),
		oldPaces:     make(map[routeKey]*histogram),
	}
}

// Observe counts one answer. It returns at once when no move of the service is in
// progress.
func (c *Collector) Observe(o Observation) {
	active := c.trafficSplit.Active(o.Service)
	if len(active) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range active {
		if m := &active[i]; o.Version == m.From || o.Version == m.To {
			c.countAnswer(m, &o)
		}
	}
}

// countAnswer counts an answer for one move. The caller holds the mutex.
func (c *Collector) countAnswer(m *ActiveMove, o *Observation) {
	key := routeKey{service: o.Service, route: o.Route}
	isOld := o.Version == m.From
	hasLatency := !o.Failed && o.Latency > 0
	limit, limitKnown := observeOld(c.oldLatencies, key, o.latencyRatio(), hasLatency && isOld)
	hasPace := !o.Failed && o.Pace > 0
	paceMs := float64(o.Pace) / float64(time.Millisecond)
	paceLimit, paceLimitKnown := observeOld(c.oldPaces, key, paceMs, hasPace && isOld)
	if hasLatency && !limitKnown && o.Version == m.From {
		// Without a limit the answer cannot be classified as slow or not. Counting it
		// as fast would make the old version look faster than it is.
		return
	}
	counts := c.stratumCounts(attemptKey{m.Move, m.Attempt}, o)
	counts.Requests++
	if o.Failed {
		counts.Errors++
	}
	if hasLatency && limitKnown && o.latencyRatio() > limit {
		counts.Slow++
	}
	if hasPace && paceLimitKnown {
		counts.Paced++
		if paceMs > paceLimit {
			counts.SlowPaced++
		}
	}
}

// observeOld returns the 90th percentile of the old version's values on a route, and then
// adds a value to them if it is one of the old version.
func observeOld(values map[routeKey]*histogram, key routeKey, value float64, isOld bool) (limit float64, known bool) {
	h := values[key]
	if h == nil {
		h = &histogram{}
		values[key] = h
	}
	limit, known = h.percentile90()
	if isOld {
		h.add(value)
	}
	return limit, known
}

// latencyRatio returns the latency divided by the expected latency, or in
// milliseconds without an expected one.
func (o *Observation) latencyRatio() float64 {
	unit := o.Expected
	if unit <= 0 {
		unit = time.Millisecond
	}
	return float64(o.Latency) / float64(unit)
}

// stratumCounts returns the counts of the observation's version and stratum and
// creates them if needed. The caller holds the mutex.
func (c *Collector) stratumCounts(key attemptKey, o *Observation) *StratumCounts {
	attempt := c.attempts[key]
	if attempt == nil {
		attempt = &attemptCounts{strata: make(map[countsKey]*StratumCounts)}
		c.attempts[key] = attempt
	}
	ck := countsKey{version: o.Version, stratum: stratum{route: o.Route, target: o.Target, load: o.Load}}
	counts := attempt.strata[ck]
	if counts == nil {
		counts = &StratumCounts{Version: o.Version, Route: o.Route, Target: o.Target, Load: o.Load}
		attempt.strata[ck] = counts
	}
	return counts
}

// Drain returns the counts since the last call, one message for each attempt, to
// be sent to the aggregator of the data centre.
func (c *Collector) Drain() []*Evidence {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*Evidence
	for key, attempt := range c.attempts {
		c.sequence++
		e := &Evidence{Move: key.move, Attempt: key.attempt, Origin: c.origin, Sequence: c.sequence}
		for _, counts := range attempt.strata {
			e.Strata = append(e.Strata, *counts)
		}
		out = append(out, e)
		delete(c.attempts, key)
	}
	return out
}
