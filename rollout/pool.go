package rollout

import (
	"math"
	"time"
)

// The families of strata, from wide to narrow.
const (
	byVersion = iota
	byRoute
	byLoad
	byTarget
	byAll
)

// project maps a stratum to the one that holds it in a family.
func project(family int, s stratum) stratum {
	switch family {
	case byVersion:
		return stratum{}
	case byRoute:
		return stratum{route: s.route}
	case byLoad:
		return stratum{route: s.route, load: s.load}
	case byTarget:
		return stratum{route: s.route, target: s.target}
	default:
		return s
	}
}

// pool is one comparison: the new version's answers in a stratum and what the old
// version would have done with the same mix of targets and load levels.
type pool struct {
	old, fresh trials
	matched    bool
	// spread is the sum of squared weights over old answers, from which the
	// effective number of old answers follows.
	spread float64
	// expected is the number of faults that the old version would have had.
	expected float64
}

// snapshot is the tally over one span of time.
type snapshot struct {
	slot  int64
	fresh map[stratum]Counts
	// old holds the old version's answers since the start, by family.
	old [families]map[stratum]Counts
	// recentOld holds its answers within the window; nil for the whole attempt.
	recentOld map[stratum]Counts
}

func newSnapshot(t *Tally, now time.Time, length time.Duration) *snapshot {
	s := &snapshot{slot: t.slot(now), fresh: make(map[stratum]Counts, len(t.pairs))}
	for family := range families {
		s.old[family] = make(map[stratum]Counts)
	}
	if length > 0 {
		s.recentOld = make(map[stratum]Counts)
	}
	for key, p := range t.pairs {
		fresh := p.new
		if length > 0 {
			var old Counts
			old, fresh = p.recent(s.slot, length)
			s.recentOld[key] = old
		}
		if fresh.Requests > 0 {
			s.fresh[key] = fresh
		}
		for family := range families {
			wide := project(family, key)
			c := s.old[family][wide]
			c.add(p.old)
			s.old[family][wide] = c
		}
	}
	return s
}

// everyRouteSeen reports whether the new version answered on every route on which
// the old one did often.
func (s *snapshot) everyRouteSeen() bool {
	seen := make(map[string]bool)
	for key := range s.fresh {
		seen[key.route] = true
	}
	for key, old := range s.old[byRoute] {
		if !seen[key.route] && old.Requests >= trusted {
			return false
		}
	}
	return true
}

// baseline returns the old version's answers for a stratum: its own, or those of
// the route at the same load, or those of the route. matched is false when the
// old version was not seen at this load level.
func (s *snapshot) baseline(key stratum, m *metric) (old trials, matched bool) {
	for _, family := range []int{byAll, byLoad} {
		c := s.old[family][project(family, key)]
		if c.Requests >= trusted {
			return trials{n: c.Requests, k: m.of(c)}, true
		}
	}
	c := s.old[byRoute][project(byRoute, key)]
	return trials{n: c.Requests, k: m.of(c)}, false
}

// pools returns the comparisons of one family. Strata without a matching load
// level are compared on their own, and left out of the pools over load levels.
func (s *snapshot) pools(family int, m *metric) map[stratum]*pool {
	pools := make(map[stratum]*pool)
	for key, fresh := range s.fresh {
		old, matched := s.baseline(key, m)
		if !matched && m.perLoad && family != byLoad && family != byAll {
			continue
		}
		wide := project(family, key)
		p := pools[wide]
		if p == nil {
			p = &pool{matched: true}
			pools[wide] = p
		}
		p.matched = p.matched && matched
		p.add(old, trials{n: fresh.Requests, k: m.of(fresh)}, m)
	}
	for key, p := range pools {
		// Strata may share a baseline, which does not make more answers of it.
		limit := s.old[byRoute][project(byRoute, key)].Requests
		if family == byVersion {
			limit = s.old[byVersion][stratum{}].Requests
		}
		p.finish(limit + m.assumed.n)
	}
	return pools
}

// add adds a stratum. The old rate is weighted by the new version's answers, so
// that a different mix of targets does not look like a difference of versions.
func (p *pool) add(old, fresh trials, m *metric) {
	old.n += m.assumed.n
	old.k += m.assumed.k
	p.fresh.n += fresh.n
	p.fresh.k += fresh.k
	p.expected += fresh.n * old.rate()
	p.spread += fresh.n * fresh.n / old.n
}

// finish computes the number of old answers that would give the weighted rate the
// same variance; it never exceeds the answers that there are.
func (p *pool) finish(limit float64) {
	p.old.n = math.Min(p.fresh.n*p.fresh.n/p.spread, limit)
	p.old.k = p.old.n * p.expected / p.fresh.n
}

func (p *pool) tolerated(m *metric) bound {
	if p.matched {
		return m.tolerated
	}
	return m.unmatched
}

// badRatio is the log likelihood ratio against the new version being good.
func (p *pool) badRatio(m *metric) float64 {
	b := p.tolerated(m)
	if p.fresh.rate() <= b.offset+b.slope*p.old.rate() {
		return 0
	}
	return logRatio(p.old, p.fresh, b, m.oldPrior, m.badPrior)
}

// goodRatio is the log likelihood ratio against the new version doing harm at the
// next share.
func (p *pool) goodRatio(m *metric, next uint32) float64 {
	excess := math.Min(math.Max(m.least, m.harm*FullShare/float64(next)), 0.5)
	b := bound{offset: excess, slope: 1}
	if p.fresh.rate() >= b.offset+p.old.rate() {
		return 0
	}
	return logRatio(p.old, p.fresh, b, m.oldPrior, m.oldPrior)
}

// beside compares with the old version's answers in the same window, so that an
// incident that hits both versions is not held against the new one. Without
// enough of them the comparison says nothing and the ratio is unbounded.
func (s *snapshot) beside(family int, key stratum, p *pool, m *metric) float64 {
	var old Counts
	for k, c := range s.recentOld {
		if project(family, k) == key {
			old.add(c)
		}
	}
	if old.Requests < trusted {
		return math.Inf(1)
	}
	other := pool{old: trials{n: old.Requests, k: m.of(old)}, fresh: p.fresh, matched: p.matched}
	return other.badRatio(m)
}
