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

// familyTotal is the old version's answers since the start in a stratum of a family.
type familyTotal struct {
	key stratum
	old Counts
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

// active is a stratum with answers of the new version in the span.
type active struct {
	pair  *pair
	fresh Counts
}

// snapshot is the tally over one span of time.
type snapshot struct {
	tally  *Tally
	slot   int64
	length time.Duration // 0 is the whole attempt
	active []active
}

// baseline is the old version's answers for a stratum; matched is false when the
// old version was not seen at this load level.
type baseline struct {
	old     trials
	matched bool
}

func newSnapshot(t *Tally, now time.Time, length time.Duration) *snapshot {
	s := &snapshot{tally: t, slot: t.slot(now), length: length, active: t.scratch[:0]}
	for _, p := range t.pairs {
		fresh := p.new
		if length > 0 {
			if p.newest <= s.slot-int64(length/slot) {
				continue
			}
			_, fresh = p.recent(s.slot, length)
		}
		if fresh.Requests > 0 {
			s.active = append(s.active, active{pair: p, fresh: fresh})
		}
	}
	t.scratch = s.active
	return s
}

// everyRouteSeen reports whether the new version answered on every route on which
// the old one did often.
func (s *snapshot) everyRouteSeen() bool {
	seen := make(map[int]bool)
	for i := range s.active {
		seen[s.active[i].pair.parents[byRoute]] = true
	}
	for i := range s.tally.totals[byRoute] {
		if !seen[i] && s.tally.totals[byRoute][i].old.Requests >= trusted {
			return false
		}
	}
	return true
}

// baselines returns for each active stratum its own old answers, or those of the
// route at the same load, or those of the route.
func (s *snapshot) baselines(m *metric) []baseline {
	out := make([]baseline, len(s.active))
	for i := range s.active {
		out[i] = s.tally.baseline(s.active[i].pair, m)
	}
	return out
}

func (t *Tally) baseline(p *pair, m *metric) baseline {
	for _, family := range [...]int{byAll, byLoad} {
		c := &t.totals[family][p.parents[family]].old
		if c.Requests >= trusted {
			return baseline{trials{n: c.Requests, k: m.of(*c)}, true}
		}
	}
	c := &t.totals[byRoute][p.parents[byRoute]].old
	return baseline{old: trials{n: c.Requests, k: m.of(*c)}}
}

// pools returns the comparisons of one family, indexed like the tally's totals;
// those without answers of the new version are empty, and n counts the others.
// Strata without a matching load level are compared on their own, and left out of
// the pools over load levels.
func (s *snapshot) pools(family int, m *metric, bases []baseline) (pools []pool, n int) {
	pools = make([]pool, len(s.tally.totals[family]))
	for i := range s.active {
		a := &s.active[i]
		if !bases[i].matched && m.perLoad && family != byLoad && family != byAll {
			continue
		}
		p := &pools[a.pair.parents[family]]
		if p.fresh.n == 0 {
			p.matched = true
			n++
		}
		p.matched = p.matched && bases[i].matched
		p.add(bases[i].old, trials{n: a.fresh.Requests, k: m.of(a.fresh)}, m)
		// Strata may share a baseline, which does not make more answers of it.
		limit := s.tally.totals[byRoute][a.pair.parents[byRoute]].old.Requests
		if family == byVersion {
			limit = s.tally.totals[byVersion][0].old.Requests
		}
		p.finish(limit + m.assumed.n)
	}
	return pools, n
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
func (s *snapshot) beside(family, index int, p *pool, m *metric) float64 {
	var old Counts
	for _, pair := range s.tally.pairs {
		if pair.parents[family] == index {
			recent, _ := pair.recent(s.slot, s.length)
			old.add(recent)
		}
	}
	if old.Requests < trusted {
		return math.Inf(1)
	}
	other := pool{old: trials{n: old.Requests, k: m.of(old)}, fresh: p.fresh, matched: p.matched}
	return other.badRatio(m)
}
