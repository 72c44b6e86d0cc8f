package ratelimit

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxReportAge is the age up to which a report is answered. Reports arrive
	// once a second; one that arrives late is answered in the next round.
	maxReportAge = 1500 * time.Millisecond
	// reportInterval is the time between the reports of a daemon, and between the
	// rounds in which the divider answers them.
	reportInterval = time.Second
	// idleFloorShare is the share of its floor that each daemon gets without
	// demand, for the first requests of a caller that connects to it.
	idleFloorShare = 0.1
)

// Portion is the rate that a daemon may use, in units per second.
type Portion struct {
	Daemon    string
	PerSecond float64
}

// Divider divides the limit of one account among the live daemons. It is safe for
// concurrent use.
type Divider struct {
	mu        sync.Mutex
	startedAt time.Time
	limit     float64
	daemons   map[string]*daemonState
	liveCount int
}

// daemonState holds the last report of one daemon and the portions granted to it.
type daemonState struct {
	live       bool
	demand     float64 // units per second
	reportedAt time.Time
	// grants are the portions that the daemon may still use, the newest last.
	grants []grant
	// mayUseFloorAt is when the daemon may start to use its floor if no further
	// portion reaches it.
	mayUseFloorAt time.Time
}

// grant is a portion that was handed out, and the end of its validity.
type grant struct {
	perSecond float64
	until     time.Time
}

// NewDivider returns a divider that starts to hand out portions after
// PortionValidity, when those of an earlier divider have expired.
func NewDivider(now time.Time, limit float64, daemons []string) *Divider {
	d := &Divider{startedAt: now, limit: limit, daemons: map[string]*daemonState{}}
	d.SetDaemons(daemons)
	return d
}

// SetLimit changes the account's limit in units per second.
func (d *Divider) SetLimit(limit float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limit = limit
}

// SetDaemons replaces the names of the live daemons. The portions of a removed
// daemon count until they expire.
func (d *Divider) SetDaemons(names []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.daemons {
		s.live = false
	}
	d.liveCount = 0
	for _, name := range names {
		s := d.daemons[name]
		if s == nil {
			s = &daemonState{}
			d.daemons[name] = s
		}
		if !s.live {
			s.live = true
			d.liveCount++
		}
	}
}

// Report records the demand of a daemon in units per second. Reports of unknown
// daemons are ignored.
func (d *Divider) Report(now time.Time, daemon string, perSecond float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.daemons[daemon]; s != nil {
		s.demand, s.reportedAt = perSecond, now
	}
}

// Divide returns new portions for the live daemons whose last report is younger than
// maxReportAge. It is called once a second.
func (d *Divider) Divide(now time.Time) []Portion {
	d.mu.Lock()
	defer d.mu.Unlock()
	floor := d.limit / float64(max(1, d.liveCount))
	d.expire(now, floor)
	if now.Sub(d.startedAt) < PortionValidity {
		return nil
	}
	available := d.limit
	var reporting []string
	for name, s := range d.daemons {
		if s.live && s.hasFreshReport(now) {
			reporting = append(reporting, name)
		} else {
			available -= s.reservedRate(floor)
		}
	}
	slices.Sort(reporting)
	desired := d.desiredRates(reporting, max(available, 0), floor)
	return d.issueGrants(now, reporting, desired, available, floor)
}

// expire drops grants that are no longer in force, and removed daemons without
// grants. After a portion has expired, its daemon uses the lesser of that portion
// and its floor until another portion reaches it. Since the next portion may be
// lost, an expired grant counts until two more have followed or FloorDelay has
// passed.
func (d *Divider) expire(now time.Time, floor float64) {
	for name, s := range d.daemons {
		kept := s.grants[:0]
		for i, g := range s.grants {
			superseded := len(s.grants)-1-i >= 2
			if !now.Before(g.until) {
				g.perSecond = min(g.perSecond, floor)
			}
			if now.Before(g.until) || (!superseded && now.Before(g.until.Add(FloorDelay))) {
				kept = append(kept, g)
			}
		}
		s.grants = kept
		if len(s.grants) == 0 && !s.live {
			delete(d.daemons, name)
		}
	}
}

// hasFreshReport reports whether the last report is younger than maxReportAge.
func (s *daemonState) hasFreshReport(now time.Time) bool {
	return !s.reportedAt.IsZero() && now.Sub(s.reportedAt) < maxReportAge
}

// maxGranted returns the largest rate that the grants allow the daemon to use.
func (s *daemonState) maxGranted() (largest float64) {
	for _, g := range s.grants {
		largest = max(largest, g.perSecond)
	}
	return largest
}

// reservedRate returns the rate that is reserved for a daemon without a fresh
// report. A live one will use its floor without a new portion, but only after the
// others have had time to give that rate back.
func (s *daemonState) reservedRate(floor float64) float64 {
	if s.live {
		return max(s.maxGranted(), floor)
	}
	return s.maxGranted()
}

// newestRate returns the newest portion of a daemon, or the rate that it uses
// without one.
func (s *daemonState) newestRate(now time.Time, floor float64) float64 {
	if n := len(s.grants); n > 0 {
		return s.grants[n-1].perSecond
	}
	return s.maxRateAt(now, floor)
}

// maxRateAt returns the largest rate that a daemon may use at a time if it gets no
// new portion. A daemon that never had a portion uses its floor.
func (s *daemonState) maxRateAt(at time.Time, floor float64) float64 {
	if at.Before(s.mayUseFloorAt) {
		return s.maxGranted()
	}
	return max(s.maxGranted(), floor)
}

// desiredRates divides the available rate: each reporting daemon gets a minimum,
// then a rate in proportion to its demand, and the rest is divided equally.
func (d *Divider) desiredRates(reporting []string, available, floor float64) map[string]float64 {
	minimum := min(idleFloorShare*floor, available/float64(max(1, len(reporting))))
	rest := available - minimum*float64(len(reporting))
	excessDemand := 0.0
	for _, name := range reporting {
		excessDemand += max(0, d.daemons[name].demand-minimum)
	}
	scale, extra := 1.0, 0.0
	if excessDemand > rest {
		scale = rest / excessDemand
	} else {
		extra = (rest - excessDemand) / float64(max(1, len(reporting)))
	}
	rates := map[string]float64{}
	for _, name := range reporting {
		rates[name] = minimum + scale*max(0, d.daemons[name].demand-minimum) + extra
	}
	return rates
}

// issueGrants records and returns the new portions: the desired rates, with
// increases scaled down to what the portions still in force leave of the limit.
func (d *Divider) issueGrants(now time.Time, reporting []string, desired map[string]float64, available, floor float64) []Portion {
	headroom, totalIncrease := available, 0.0
	current := map[string]float64{}
	for _, name := range reporting {
		current[name] = d.daemons[name].maxRateAt(now, floor)
		headroom -= current[name]
		totalIncrease += max(0, desired[name]-current[name])
	}
	increaseScale := 1.0
	switch {
	case headroom < 0:
		// Some daemons will soon use their floors, and what the others may still
		// use exceeds the rest of the limit: no daemon gets more than its newest
		// portion.
		increaseScale = 0
		for _, name := range reporting {
			current[name] = d.daemons[name].newestRate(now, floor)
		}
	case totalIncrease > headroom:
		increaseScale = headroom / totalIncrease
	}
	portions := make([]Portion, 0, len(reporting))
	for _, name := range reporting {
		s := d.daemons[name]
		perSecond := desired[name]
		if perSecond > current[name] {
			perSecond = current[name] + increaseScale*(perSecond-current[name])
		}
		// The daemon counts the validity from the sending of its report, which was
		// before now, so the portion ends there no later than here.
		if n := len(s.grants); n > 0 && now.Before(s.grants[n-1].until) {
			// The first grant after a pause may be lost, and the daemon then keeps
			// using its floor. Because no two answers in a row are lost, the second
			// grant means that it uses portions again.
			s.mayUseFloorAt = now.Add(FloorDelay - reportInterval)
		}
		s.grants = append(s.grants, grant{perSecond, now.Add(PortionValidity)})
		portions = append(portions, Portion{name, perSecond})
	}
	return portions
}
