package rollout

import (
	"fmt"
	"math"
	"time"
)

const (
	// DefaultAlpha is the probability of calling a good version bad.
	DefaultAlpha = 0.001
	// DefaultBeta is the probability of calling a bad version good.
	DefaultBeta = 0.01
	// suspicion is the level at which a share is not raised. A false suspicion
	// only delays a step.
	suspicion = 0.05
	// trusted is the number of old answers from which a stratum is its own
	// baseline; below it, the old answers of a wider stratum are taken.
	trusted = 20
	// families is the number of ways to divide the answers: not at all, by route, by
	// route and load, by route and target, and by all three.
	families = 5
	// restarts is the number of windows in 15 minutes. Half of the windows' error
	// probability is spent on them, half of the rest on the next 15 minutes, and
	// so on.
	restarts = float64(15 * time.Minute / slot)
)

// metric is one property of answers that the test compares.
type metric struct {
	name string
	of   func(Counts) float64
	// tolerated separates good versions: a rate on the line is still good.
	tolerated bound
	// unmatched replaces tolerated at load levels at which the old version was
	// never seen.
	unmatched bound
	// perLoad says that the rate depends on the load level even for a good
	// version, so that levels without an old version beside are not pooled.
	perLoad bool
	// harm is the share of all requests that a fault may hurt at the next step when
	// the step counts as safe; least is the smallest excess that counts as harm.
	harm, least float64
	// assumed are answers of the old version taken for granted before any arrive.
	assumed  trials
	oldPrior prior
	badPrior prior
}

// The tolerated rates are design choices: errors may rise by half and by 0.5%,
// and answers slower than the old version's 9th decile from 10% to 18%.
var metrics = []metric{{
	name:      "errors",
	of:        func(c Counts) float64 { return c.Errors },
	tolerated: bound{offset: 0.005, slope: 1.5},
	unmatched: bound{offset: 0.02, slope: 2},
	harm:      0.01,
	least:     0.03,
	assumed:   trials{n: 20, k: 0},
	oldPrior:  prior{alpha: 0.5, beta: 10},
	badPrior:  prior{alpha: 0.5, beta: 0.5},
}, {
	name:      "slow answers",
	of:        func(c Counts) float64 { return c.Slow },
	tolerated: bound{offset: 0.05, slope: 1.3},
	unmatched: bound{offset: 0.45, slope: 1},
	perLoad:   true,
	harm:      0.02,
	least:     0.15,
	assumed:   trials{n: 20, k: 2},
	oldPrior:  prior{alpha: 1, beta: 9},
	badPrior:  prior{alpha: 1, beta: 1},
}}

// Test is the sequential probability ratio test of both versions, on errors and
// on slow answers, in every stratum and over windows of time. The error
// probabilities are split over all comparisons.
type Test struct {
	// Alpha is the probability of calling a good version bad during one attempt.
	Alpha float64
	// Beta is the probability of calling a version good whose excess of faults
	// would do more than the tolerated harm at the next share.
	Beta float64
}

// NewTest returns the test with the default error probabilities.
func NewTest() *Test {
	return &Test{Alpha: DefaultAlpha, Beta: DefaultBeta}
}

// SplitAmong returns the test for one of n judges of the same attempt.
func (t *Test) SplitAmong(n int) *Test {
	return &Test{Alpha: t.Alpha / float64(max(n, 1)), Beta: t.Beta}
}

// span is one period over which answers are judged.
type span struct {
	length time.Duration // 0 is the whole attempt
	// part of alpha spent on this kind of span.
	part float64
}

var spans = []span{{0, 0.5}, {windowShort, 0.25}, {windowLong, 0.25}}

// Judge implements Judge.
func (t *Test) Evaluate(tally *Tally, now time.Time, next uint32) Verdict {
	if tally == nil || len(tally.pairs) == 0 {
		return Verdict{}
	}
	var v Verdict
	for _, sp := range spans {
		s := newSnapshot(tally, now, sp.length)
		good := sp.length == 0 && len(s.active) > 0 && s.everyRouteSeen()
		for i := range metrics {
			m := &metrics[i]
			bases := s.baselines(m)
			t.judgeBad(&v, s, sp, m, bases)
			if v.Bad {
				return v
			}
			good = good && t.judgeGood(s, m, bases, next)
		}
		v.Good = v.Good || good
	}
	return v
}

// judgeBad compares the versions in all strata of all families.
func (t *Test) judgeBad(v *Verdict, s *snapshot, sp span, m *metric, bases []baseline) {
	for family := range families {
		pools, n := s.pools(family, m, bases)
		// Every comparison gets the same part of the family's error probability.
		split := math.Log(float64(len(metrics) * families * max(n, 1)))
		limit := split - math.Log(t.Alpha*sp.part) + s.restartCost(sp)
		caution := split - math.Log(suspicion)
		for i := range pools {
			p := &pools[i]
			ratio := p.badRatio(m)
			if ratio > caution && sp.length > 0 {
				ratio = math.Min(ratio, s.beside(family, i, p, m))
			}
			v.Suspicious = v.Suspicious || ratio > caution
			if ratio > limit {
				v.Bad = true
				v.Reason = reason(family, s.tally.totals[family][i].key, p, m, sp)
				return
			}
		}
	}
}

// restartCost is the logarithm of the number of windows that share the part of
// alpha that is spent on windows.
func (s *snapshot) restartCost(sp span) float64 {
	if sp.length == 0 {
		return 0
	}
	return math.Log(restarts) + (1+float64(s.slot)/restarts)*math.Ln2
}

// judgeGood reports whether every route with new answers rules out harm at the
// next share.
func (t *Test) judgeGood(s *snapshot, m *metric, bases []baseline, next uint32) bool {
	pools, n := s.pools(byRoute, m, bases)
	limit := math.Log(float64(len(metrics)*max(n, 1)) / t.Beta)
	for i := range pools {
		if pools[i].fresh.n > 0 && pools[i].goodRatio(m, next) < limit {
			return false
		}
	}
	return n > 0 || m.perLoad
}

func reason(family int, key stratum, p *pool, m *metric, sp span) string {
	where := "route " + key.route
	if family == byVersion {
		where = "all routes"
	}
	if key.target != "" {
		where += ", target " + key.target
	}
	if family == byLoad || family == byAll {
		where += fmt.Sprintf(", load level %d", key.load)
	}
	when := "since the start"
	if sp.length > 0 {
		when = fmt.Sprintf("in the last %v", sp.length)
	}
	return fmt.Sprintf("%s on %s: %.0f of %.0f answers %s, old version %.2f%% of %.0f",
		m.name, where, p.fresh.k, p.fresh.n, when, 100*p.old.rate(), p.old.n)
}
