package rollout

import (
	"math"
	"time"
)

// The groupings by which strata are added up and compared, from coarse to fine.
const (
	ungrouped = iota
	byRoute
	byRouteLoad
	byRouteTarget
	byRouteTargetLoad
)

// coarsen returns the group that contains a stratum in a grouping: the stratum with the
// fields that the grouping ignores set to their zero values.
func coarsen(grouping int, s stratum) stratum {
	switch grouping {
	case ungrouped:
		return stratum{}
	case byRoute:
		return stratum{route: s.route}
	case byRouteLoad:
		return stratum{route: s.route, load: s.load}
	case byRouteTarget:
		return stratum{route: s.route, target: s.target}
	default:
		return s
	}
}

// groupTotal holds the old version's answers in one group of a grouping since the
// start of the attempt.
type groupTotal struct {
	key stratum
	old Counts
}

// comparison compares the new version's answers in one group with those that the old
// version would have given at the same mix of targets and load levels.
type comparison struct {
	old, new trials
	matched  bool // every stratum has a matched baseline
	// varianceWeight is the sum over the strata of the squared number of new answers
	// divided by the number of old answers. The effective number of old answers
	// follows from it.
	varianceWeight float64
	// expectedFaults is the number of faults that the old version would have had in
	// the new version's answers.
	expectedFaults float64
}

// activeStratum is a stratum in which the new version answered within the window.
type activeStratum struct {
	pair *versionPair
	new  Counts
}

// windowView is the part of a tally within one window of time.
type windowView struct {
	tally    *Tally
	interval int64         // the newest interval of the window
	length   time.Duration // 0 is the whole attempt
	active   []activeStratum
}

// baseline holds the old version's answers with which a stratum is compared. matched
// is false when the old version has too few answers at the stratum's load level, so
// that answers at other load levels are used.
type baseline struct {
	old     trials
	matched bool
}

// newWindowView returns the view of the window that ends at now. It reuses t.scratch, so
// earlier views of the same tally become invalid.
func newWindowView(t *Tally, now time.Time, length time.Duration) *windowView {
	view := &windowView{tally: t, interval: t.intervalAt(now), length: length, active: t.scratch[:0]}
	for _, p := range t.pairs {
		counts := p.new
		if length > 0 {
			if p.newestInterval <= view.interval-int64(length/intervalLength) {
				continue
			}
			_, counts = p.recent(view.interval, length)
		}
		if counts.Requests > 0 {
			view.active = append(view.active, activeStratum{pair: p, new: counts})
		}
	}
	t.scratch = view.active
	return view
}

// everyRouteSeen reports whether the new version answered on every route on which
// the old one has at least minBaselineAnswers answers.
func (view *windowView) everyRouteSeen() bool {
	seen := make(map[int]bool)
	for i := range view.active {
		seen[view.active[i].pair.groupIndex[byRoute]] = true
	}
	for i := range view.tally.totals[byRoute] {
		if !seen[i] && view.tally.totals[byRoute][i].old.Requests >= minBaselineAnswers {
			return false
		}
	}
	return true
}

// baselines returns the baseline of each active stratum.
func (view *windowView) baselines(m *metric) []baseline {
	out := make([]baseline, len(view.active))
	for i := range view.active {
		out[i] = view.tally.baseline(view.active[i].pair, m)
	}
	return out
}

// baseline returns the old version's answers in the stratum itself, if there are at
// least minBaselineAnswers; else those on the route at the same load level, if there
// are as many; else, for a metric that depends on the load, those at this and higher
// levels; else those on the route.
func (t *Tally) baseline(p *versionPair, m *metric) baseline {
	for _, grouping := range [...]int{byRouteTargetLoad, byRouteLoad} {
		c := &t.totals[grouping][p.groupIndex[grouping]].old
		if m.answers(*c) >= minBaselineAnswers {
			return baseline{m.trials(*c), true}
		}
	}
	if m.dependsOnLoad {
		if c := t.oldAtLoadOrAbove(p.key); m.answers(c) >= minBaselineAnswers {
			return baseline{m.trials(c), true}
		}
	}
	c := &t.totals[byRoute][p.groupIndex[byRoute]].old
	return baseline{old: m.trials(*c)}
}

// oldAtLoadOrAbove returns the old version's answers on the route of a stratum at its load
// level and higher ones. A good version has no higher rate of slow answers at a lower
// level, so these answers excuse the new version more than those at its own level would.
// Targets of the new version run few requests while its share is small, and those of the
// old version may never run so few.
func (t *Tally) oldAtLoadOrAbove(key stratum) Counts {
	var sum Counts
	for load := key.load; load < loadLevels; load++ {
		if i, found := t.groupIndexes[byRouteLoad][stratum{route: key.route, load: load}]; found {
			sum.add(t.totals[byRouteLoad][i].old)
		}
	}
	return sum
}

// comparisons returns the comparisons of one grouping, indexed like the tally's
// totals, and the number of those that have answers of the new version; the others
// are empty. For a metric that depends on the load level, strata without a matched
// baseline are left out of the groupings that add up load levels.
func (view *windowView) comparisons(grouping int, m *metric, baselines []baseline) (out []comparison, compared int) {
	out = make([]comparison, len(view.tally.totals[grouping]))
	for i := range view.active {
		a := &view.active[i]
		if m.answers(a.new) == 0 {
			continue
		}
		if !baselines[i].matched && m.dependsOnLoad && grouping != byRouteLoad && grouping != byRouteTargetLoad {
			continue
		}
		c := &out[a.pair.groupIndex[grouping]]
		if c.new.n == 0 {
			c.matched = true
			compared++
		}
		c.matched = c.matched && baselines[i].matched
		c.add(baselines[i].old, m.trials(a.new), m)
		// Several strata may use the same baseline; its answers must not count more
		// than once.
		limit := m.answers(view.tally.totals[byRoute][a.pair.groupIndex[byRoute]].old)
		if grouping == ungrouped {
			limit = m.answers(view.tally.totals[ungrouped][0].old)
		}
		c.updateOld(limit + m.assumedOld.n)
	}
	return out, compared
}

// add adds a stratum to the comparison. The old rate is weighted by the new version's
// answers, so that a different mix of targets does not look like a difference of
// versions.
func (c *comparison) add(oldTrials, newTrials trials, m *metric) {
	oldTrials.n += m.assumedOld.n
	oldTrials.k += m.assumedOld.k
	c.new.n += newTrials.n
	c.new.k += newTrials.k
	c.expectedFaults += newTrials.n * oldTrials.rate()
	c.varianceWeight += newTrials.n * newTrials.n / oldTrials.n
}

// updateOld sets old to the weighted old rate and its effective sample size: the number
// of answers at which an unweighted rate has the same variance, but at most limit.
func (c *comparison) updateOld(limit float64) {
	c.old.n = math.Min(c.new.n*c.new.n/c.varianceWeight, limit)
	c.old.k = c.old.n * c.expectedFaults / c.new.n
}

// toleratedBound returns the highest rates of the new version that count as good.
func (c *comparison) toleratedBound(m *metric) bound {
	if c.matched {
		return m.tolerated
	}
	return m.toleratedUnmatched
}

// badRatio returns the log likelihood ratio against the hypothesis that the new
// version is good.
func (c *comparison) badRatio(m *metric) float64 {
	b := c.toleratedBound(m)
	if c.new.rate() <= b.offset+b.slope*c.old.rate() {
		return 0
	}
	return logLikelihoodRatio(c.old, c.new, b, m.oldPrior, m.badPrior)
}

// goodRatio returns the log likelihood ratio against the hypothesis that the new
// version does harm at the next share.
func (c *comparison) goodRatio(m *metric, next uint32) float64 {
	excess := math.Min(math.Max(m.minExcess, m.harmedShare*FullShare/float64(next)), 0.5)
	b := bound{offset: excess, slope: 1}
	if c.new.rate() >= b.offset+c.old.rate() {
		return 0
	}
	return logLikelihoodRatio(c.old, c.new, b, m.oldPrior, m.oldPrior)
}

// badRatioInWindow returns badRatio against only the old version's answers in the same
// window, so that an incident that hits both versions is not attributed to the new
// one. It returns +Inf if these are fewer than minBaselineAnswers: the comparison is
// not meaningful then and must not lower the caller's ratio.
func (view *windowView) badRatioInWindow(grouping, index int, c *comparison, m *metric) float64 {
	var old Counts
	for _, pair := range view.tally.pairs {
		if pair.groupIndex[grouping] == index {
			recent, _ := pair.recent(view.interval, view.length)
			old.add(recent)
		}
	}
	if m.answers(old) < minBaselineAnswers {
		return math.Inf(1)
	}
	recentOnly := comparison{old: m.trials(old), new: c.new, matched: c.matched}
	return recentOnly.badRatio(m)
}
