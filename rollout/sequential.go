package rollout

import (
	"fmt"
	"math"
	"time"
)

const (
	// DefaultAlpha bounds the probability that a good version is called bad.
	DefaultAlpha = 0.001
	// DefaultBeta bounds the probability that a bad version is called good.
	DefaultBeta = 0.01
	// suspicionLevel is the error probability at which the new version counts as
	// suspicious and its share is not raised. It is far above DefaultAlpha because a
	// false suspicion only delays a step.
	suspicionLevel = 0.05
	// minBaselineAnswers is the number of old answers that a stratum needs to be its
	// own baseline; with fewer, the old answers of a coarser group are used.
	minBaselineAnswers = 20
	// groupingCount is the number of groupings of the answers: none, by route, by
	// route and load, by route and target, and by all three.
	groupingCount = 5
	// windowsPer15Min is the number of windows that end in 15 minutes, one in each
	// interval. Half of the error probability for windows is spent on the first 15
	// minutes, half of the rest on the next 15 minutes, and so on.
	windowsPer15Min = float64(15 * time.Minute / intervalLength)
)

// metric is one kind of fault by which the test compares the versions.
type metric struct {
	name string // as in Verdict.Reason
	// answers is the number of answers that can have the fault, and faults that of those with
	// it.
	answers, faults func(Counts) float64
	// tolerated separates good from bad versions: a rate on the line is still good.
	tolerated bound
	// toleratedUnmatched replaces tolerated at load levels at which the old version
	// has too few answers for a baseline.
	toleratedUnmatched bound
	// dependsOnLoad says that the rate depends on the load level even for a good
	// version. Load levels without a baseline of their own are then not added to other
	// levels.
	dependsOnLoad bool
	// harmedShare is the share of all requests that a fault may harm at the next step
	// while the step still counts as safe. minExcess is the smallest excess over the
	// old rate that counts as harm.
	harmedShare, minExcess float64
	// assumedOld are answers that are added to those of the old version in every
	// stratum, so that there is a rate before any arrive.
	assumedOld trials
	oldPrior   betaPrior // of the old version's rate, and of a good version's
	badPrior   betaPrior // of a bad version's rate
}

// trials returns the answers that can have the fault and those with it.
func (m *metric) trials(c Counts) trials {
	return trials{n: m.answers(c), k: m.faults(c)}
}

// metrics are the compared kinds of faults. The tolerated bounds are design choices:
// the error rate may rise by half of the old rate plus 0.5%, the rate of answers slower than
// the old version's 90th percentile (9th decile) from 10% to 18%, and that of streams slower
// than its 75th percentile from 25% to 37.5%.
var metrics = []metric{{
	name:               "errors",
	answers:            func(c Counts) float64 { return c.Requests },
	faults:             func(c Counts) float64 { return c.Errors },
	tolerated:          bound{offset: 0.005, slope: 1.5},
	toleratedUnmatched: bound{offset: 0.02, slope: 2},
	harmedShare:        0.01,
	minExcess:          0.03,
	assumedOld:         trials{n: 20, k: 0},
	oldPrior:           betaPrior{alpha: 0.5, beta: 10},
	badPrior:           betaPrior{alpha: 0.5, beta: 0.5},
}, {
	name:               "slow answers",
	answers:            func(c Counts) float64 { return c.Timed },
	faults:             func(c Counts) float64 { return c.Slow },
	tolerated:          bound{offset: 0.05, slope: 1.3},
	toleratedUnmatched: bound{offset: 0.45, slope: 1},
	dependsOnLoad:      true,
	harmedShare:        0.02,
	minExcess:          0.15,
	assumedOld:         trials{n: 20, k: 2},
	oldPrior:           betaPrior{alpha: 1, beta: 9},
	badPrior:           betaPrior{alpha: 1, beta: 1},
}, {
	name:               "slow streams",
	answers:            func(c Counts) float64 { return c.Paced },
	faults:             func(c Counts) float64 { return c.SlowPaced },
	tolerated:          bound{offset: 0.05, slope: 1.3},
	toleratedUnmatched: bound{offset: 0.45, slope: 1},
	dependsOnLoad:      true,
	harmedShare:        0.02,
	minExcess:          0.15,
	assumedOld:         trials{n: 20, k: 5},
	oldPrior:           betaPrior{alpha: 2.5, beta: 7.5},
	badPrior:           betaPrior{alpha: 1, beta: 1},
}}

// SequentialTest compares both versions by sequential probability ratio tests, on
// errors, slow answers and slow streams, in every group of every grouping, since the start of
// the attempt and over windows of time. The error probabilities are split over all
// comparisons. It is the production Evaluator.
type SequentialTest struct {
	// Alpha bounds the probability that a good version is called bad during one
	// attempt.
	Alpha float64
	// Beta bounds the probability that a version is called good although its excess
	// of faults would do more than the tolerated harm at the next share.
	Beta float64
}

// NewSequentialTest returns the test with the default error probabilities.
func NewSequentialTest() *SequentialTest {
	return &SequentialTest{Alpha: DefaultAlpha, Beta: DefaultBeta}
}

// SplitAmong returns the test for one of n evaluators of the same attempt: each gets
// the n-th part of Alpha.
func (t *SequentialTest) SplitAmong(n int) *SequentialTest {
	return &SequentialTest{Alpha: t.Alpha / float64(max(n, 1)), Beta: t.Beta}
}

// window is a period up to now whose answers are evaluated on their own.
type window struct {
	length time.Duration // 0 is the whole attempt
	// alphaFraction is the fraction of Alpha spent on windows of this length.
	alphaFraction float64
}

var evaluationWindows = []window{{0, 0.5}, {windowShort, 0.25}, {windowLong, 0.25}}

// Evaluate implements Evaluator.
func (t *SequentialTest) Evaluate(tally *Tally, now time.Time, next uint32) Verdict {
	if tally == nil || len(tally.pairs) == 0 {
		return Verdict{}
	}
	var v Verdict
	for _, w := range evaluationWindows {
		view := newWindowView(tally, now, w.length)
		good := w.length == 0 && len(view.active) > 0 && view.everyRouteSeen()
		for i := range metrics {
			m := &metrics[i]
			baselines := view.baselines(m)
			t.evaluateBad(&v, view, w, m, baselines)
			if v.Bad {
				return v
			}
			good = good && t.evaluateGood(view, m, baselines, next)
		}
		v.Good = v.Good || good
	}
	return v
}

// evaluateBad compares the versions in all groups of all groupings, and sets Bad with
// its reason, or Suspicious, in v.
func (t *SequentialTest) evaluateBad(v *Verdict, view *windowView, w window, m *metric, baselines []baseline) {
	for grouping := range groupingCount {
		comparisons, compared := view.comparisons(grouping, m, baselines)
		// The error probability is split evenly over the metrics, the groupings and the
		// comparisons of each grouping.
		logComparisons := math.Log(float64(len(metrics) * groupingCount * max(compared, 1)))
		badLimit := logComparisons - math.Log(t.Alpha*w.alphaFraction) + view.windowPenalty(w)
		suspicionLimit := logComparisons - math.Log(suspicionLevel)
		for i := range comparisons {
			c := &comparisons[i]
			ratio := c.badRatio(m)
			if ratio > suspicionLimit && w.length > 0 {
				ratio = math.Min(ratio, view.badRatioInWindow(grouping, i, c, m))
			}
			v.Suspicious = v.Suspicious || ratio > suspicionLimit
			v.Leaning = v.Leaning || ratio > 0
			if ratio > badLimit {
				v.Bad = true
				v.Reason = badReason(grouping, view.tally.totals[grouping][i].key, c, m, w)
				return
			}
		}
	}
}

// windowPenalty returns the logarithm of the factor by which the error probability of
// one window is below that of all windows of its length together. It rises with the
// age of the attempt, see windowsPer15Min.
func (view *windowView) windowPenalty(w window) float64 {
	if w.length == 0 {
		return 0
	}
	return math.Log(windowsPer15Min) + (1+float64(view.interval)/windowsPer15Min)*math.Ln2
}

// evaluateGood reports whether the answers on every route with new answers rule out
// harm at the next share.
func (t *SequentialTest) evaluateGood(view *windowView, m *metric, baselines []baseline, next uint32) bool {
	comparisons, compared := view.comparisons(byRoute, m, baselines)
	limit := math.Log(float64(len(metrics)*max(compared, 1)) / t.Beta)
	for i := range comparisons {
		if comparisons[i].new.n > 0 && comparisons[i].goodRatio(m, next) < limit {
			return false
		}
	}
	return compared > 0 || m.dependsOnLoad
}

// badReason describes the comparison that showed a bad version, for Verdict.Reason.
func badReason(grouping int, key stratum, c *comparison, m *metric, w window) string {
	where := "route " + key.route
	if grouping == ungrouped {
		where = "all routes"
	}
	if key.target != "" {
		where += ", target " + key.target
	}
	if grouping == byRouteLoad || grouping == byRouteTargetLoad {
		where += fmt.Sprintf(", load level %d", key.load)
	}
	when := "since the start"
	if w.length > 0 {
		when = fmt.Sprintf("in the last %v", w.length)
	}
	return fmt.Sprintf("%s on %s: %.0f of %.0f answers %s, old version %.2f%% of %.0f",
		m.name, where, c.new.k, c.new.n, when, 100*c.old.rate(), c.old.n)
}
