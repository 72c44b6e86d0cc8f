package rollout

import (
	"sync"
	"time"
)

// loadLevels divide the use of a target's slots into quarters.
const loadLevels = 4

// LoadLevel returns the load level of a target with inFlight requests.
func LoadLevel(inFlight, slots int) uint32 {
	if slots <= 0 {
		return 0
	}
	return uint32(min(max(inFlight, 0)*loadLevels/slots, loadLevels-1))
}

// Observation is one answer as the entry saw it.
type Observation struct {
	Service string
	Version string
	Route   string
	Target  string
	// Load is the target's load level when the request was sent (LoadLevel).
	Load uint32
	// Failed says that the target did not answer properly. Refusals for lack of
	// capacity and callers that went away are not failures of the version.
	Failed bool
	// Latency is the time to the first token, or to the whole answer of a plain
	// service; 0 is not judged.
	Latency time.Duration
	// Expected is the estimate for a request of this length on the old version;
	// 0 compares plain latencies.
	Expected time.Duration
}

// Collector counts what one entry observes while moves are in progress. It is
// safe for concurrent use.
type Collector struct {
	shares *Shares
	origin string

	mu       sync.Mutex
	moves    map[attemptKey]*collected
	decile   map[routeKey]*histogram
	sequence uint64
}

type attemptKey struct {
	move    string
	attempt int
}

type routeKey struct {
	service, route string
}

type cellKey struct {
	version string
	stratum stratum
}

type collected struct {
	cells map[cellKey]*StratumCounts
}

// NewCollector returns a collector for the moves that shares knows. The origin
// must be unique to this run of the daemon, such as its name and incarnation.
func NewCollector(shares *Shares, origin string) *Collector {
	return &Collector{
		shares: shares,
		origin: origin,
		moves:  make(map[attemptKey]*collected),
		decile: make(map[routeKey]*histogram),
	}
}

// Observe counts one answer. It returns at once when no move of the service is in
// progress.
func (c *Collector) Observe(o Observation) {
	active := c.shares.Active(o.Service)
	if len(active) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range active {
		if m := &active[i]; o.Version == m.From || o.Version == m.To {
			c.count(m, &o)
		}
	}
}

func (c *Collector) count(m *ActiveMove, o *Observation) {
	key := routeKey{service: o.Service, route: o.Route}
	h := c.decile[key]
	if h == nil {
		h = &histogram{}
		c.decile[key] = h
	}
	timed := !o.Failed && o.Latency > 0
	limit, known := h.ninthDecile()
	if timed && o.Version == m.From {
		h.add(o.ratio())
	}
	if timed && !known && o.Version == m.From {
		// Without a limit the answer cannot be called slow or not. Counting it as
		// fast would make the old version look faster than it is.
		return
	}
	cell := c.cell(attemptKey{m.Move, m.Attempt}, o)
	cell.Requests++
	if o.Failed {
		cell.Errors++
	}
	if timed && known && o.ratio() > limit {
		cell.Slow++
	}
}

// ratio is the latency in units of the expected one, or of 1 ms.
func (o *Observation) ratio() float64 {
	unit := o.Expected
	if unit <= 0 {
		unit = time.Millisecond
	}
	return float64(o.Latency) / float64(unit)
}

func (c *Collector) cell(key attemptKey, o *Observation) *StratumCounts {
	m := c.moves[key]
	if m == nil {
		m = &collected{cells: make(map[cellKey]*StratumCounts)}
		c.moves[key] = m
	}
	ck := cellKey{version: o.Version, stratum: stratum{route: o.Route, target: o.Target, load: o.Load}}
	cell := m.cells[ck]
	if cell == nil {
		cell = &StratumCounts{Version: o.Version, Route: o.Route, Target: o.Target, Load: o.Load}
		m.cells[ck] = cell
	}
	return cell
}

// Drain returns the counts since the last call, one message for each attempt, to
// be sent to the aggregator of the data centre.
func (c *Collector) Drain() []*Evidence {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*Evidence
	for key, m := range c.moves {
		c.sequence++
		e := &Evidence{Move: key.move, Attempt: key.attempt, Origin: c.origin, Sequence: c.sequence}
		for _, cell := range m.cells {
			e.Strata = append(e.Strata, *cell)
		}
		out = append(out, e)
		delete(c.moves, key)
	}
	return out
}
