package rollout

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
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

// Collector counts the answers that one entry observes while moves are in progress. It
// keeps the usual latencies and paces at all times, so that answers can be classified as
// soon as a move begins. It is safe for concurrent use.
type Collector struct {
	trafficSplit *TrafficSplit
	origin       string

	mu       sync.Mutex
	attempts map[attemptKey]*attemptCounts
	// usual holds the usual values of each version on each route, and on anyRoute.
	usual    *simplelru.LRU[routeKey, *usualValues]
	sequence uint64
}

// anyRoute stands for all routes of a service together.
const anyRoute = ""

// maxUsualRoutes bounds the routes and versions with usual values, to about 3 MB.
const maxUsualRoutes = 1024

// usualValues are the latency ratios of one version on a route, and its paces in
// milliseconds.
type usualValues struct {
	latencies, paces histogram
}

type attemptKey struct {
	move    string
	attempt int
}

type routeKey struct {
	service, route, version string
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
	usual, err := simplelru.NewLRU[routeKey, *usualValues](maxUsualRoutes, nil)
	if err != nil {
		// The only possible error is a size that is not positive.
		panic(err)
	}
	return &Collector{
		trafficSplit: trafficSplit,
		origin:       origin,
		attempts:     make(map[attemptKey]*attemptCounts),
		usual:        usual,
	}
}

// Observe records the latency and the pace of one answer, and counts the answer for the
// moves of its service that are in progress.
func (c *Collector) Observe(o Observation) {
	c.observe(c.trafficSplit.Active(o.Service), &o)
}

func (c *Collector) observe(active []ActiveMove, o *Observation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range active {
		if m := &active[i]; o.Version == m.From || o.Version == m.To {
			c.countAnswer(m, o)
		}
	}
	for _, route := range [...]string{o.Route, anyRoute} {
		usual := c.usualOf(routeKey{o.Service, route, o.Version})
		if o.hasLatency() {
			usual.latencies.add(o.latencyRatio())
		}
		if o.hasPace() {
			usual.paces.add(o.paceMs())
		}
	}
}

// usualOf returns the usual values of a version on a route. The caller holds the mutex.
func (c *Collector) usualOf(key routeKey) *usualValues {
	usual, found := c.usual.Get(key)
	if !found {
		usual = &usualValues{latencies: histogram{quantile: latencyQuantile}, paces: histogram{quantile: paceQuantile}}
		c.usual.Add(key, usual)
	}
	return usual
}

// countAnswer counts an answer for one move. While too little is known of the old version to
// tell whether the answer is slow, it is counted for errors only. The caller holds the
// mutex.
func (c *Collector) countAnswer(m *ActiveMove, o *Observation) {
	counts := c.stratumCounts(attemptKey{m.Move, m.Attempt}, o)
	counts.Requests++
	if o.Failed {
		counts.Errors++
	}
	if limit, known := c.limit(m, o, func(u *usualValues) *histogram { return &u.latencies }); known && o.hasLatency() {
		counts.Timed++
		if o.latencyRatio() > limit {
			counts.Slow++
		}
	}
	if limit, known := c.limit(m, o, func(u *usualValues) *histogram { return &u.paces }); known && o.hasPace() {
		counts.Paced++
		if o.paceMs() > limit {
			counts.SlowPaced++
		}
	}
}

// limit returns the limit that the old version's values set on the route of an observation,
// or on all routes of the service while the route has too few. Any limit may serve, since
// both versions are classified by the same one. The caller holds the mutex.
func (c *Collector) limit(m *ActiveMove, o *Observation, values func(*usualValues) *histogram) (limit float64, known bool) {
	limit, known = values(c.usualOf(routeKey{o.Service, o.Route, m.From})).limit()
	if !known {
		limit, known = values(c.usualOf(routeKey{o.Service, anyRoute, m.From})).limit()
	}
	return limit, known
}

// hasLatency and hasPace report whether the observation has a latency or pace that can be
// compared.
func (o *Observation) hasLatency() bool { return !o.Failed && o.Latency > 0 }
func (o *Observation) hasPace() bool    { return !o.Failed && o.Pace > 0 }

// paceMs returns the pace in milliseconds.
func (o *Observation) paceMs() float64 {
	return float64(o.Pace) / float64(time.Millisecond)
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
