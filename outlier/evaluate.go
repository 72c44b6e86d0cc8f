package outlier

import (
	"math"
	"slices"
)

// peerGroup holds the figures of the targets that are compared with each other,
// sorted after sort was called.
type peerGroup struct {
	meanLogRatios, failureShares []float64
}

// evaluate compares each target of a pool with its peers, updates the number of its
// bad evaluations in a row, and returns the targets that are bad now.
func evaluate(pool []*target) []ejectionCandidate {
	groups := map[string]*peerGroup{}
	wholePool := &peerGroup{}
	for _, t := range pool {
		group := groups[t.Hardware]
		if group == nil {
			group = &peerGroup{}
			groups[t.Hardware] = group
		}
		group.add(t)
		wholePool.add(t)
	}
	for _, group := range groups {
		group.sort()
	}
	wholePool.sort()
	var candidates []ejectionCandidate
	for _, t := range pool {
		candidate, bad := t.evaluate(groups[t.Hardware], wholePool)
		if !bad {
			t.consecutiveBad = 0
			continue
		}
		t.consecutiveBad++
		candidates = append(candidates, candidate)
	}
	return candidates
}

// add adds the figures of a target in use that has enough samples.
func (g *peerGroup) add(t *target) {
	w := t.evidence()
	if t.ejected {
		return
	}
	if w.timedRequests >= MinSamples {
		g.meanLogRatios = append(g.meanLogRatios, w.mean())
	}
	if w.requests >= MinSamples {
		g.failureShares = append(g.failureShares, w.failureShare())
	}
}

func (g *peerGroup) sort() {
	slices.Sort(g.meanLogRatios)
	slices.Sort(g.failureShares)
}

// evidence returns the sums of the current and the previous window.
func (t *target) evidence() window {
	return t.current.plus(t.previous)
}

// evaluate compares a target with its peers and reports whether it is bad. It also
// stores the median of the peers' mean log ratios, which later probes are compared
// with.
func (t *target) evaluate(group, wholePool *peerGroup) (ejectionCandidate, bool) {
	w := t.evidence()
	if peerMedian, ok := medianOfOthers(group.meanLogRatios, wholePool.meanLogRatios, w.mean(), !t.ejected && w.timedRequests >= MinSamples); ok {
		t.peerMedianLogRatio = peerMedian
		excess := w.mean() - peerMedian - 2*w.standardError() - math.Log(SlowFactor)
		if !t.ejected && !t.IgnoreSlowness && w.timedRequests >= MinSamples && excess > 0 {
			return ejectionCandidate{t, Slow, excess}, true
		}
	}
	if t.ejected || w.requests < MinSamples {
		return ejectionCandidate{}, false
	}
	peerMedianShare, ok := medianOfOthers(group.failureShares, wholePool.failureShares, w.failureShare(), true)
	if !ok || w.failureShare() < peerMedianShare+FailureExcess {
		return ejectionCandidate{}, false
	}
	// The offset of 100 ranks failing targets before slow ones.
	return ejectionCandidate{t, Failing, 100 + w.failureShare()}, true
}

// medianOfOthers returns the median of the hardware generation's sorted figures, or
// of the whole pool's when fewer than minPeers others have one. If included is set,
// both slices contain own, which is left out. It reports false when the pool has
// too few others as well.
func medianOfOthers(group, wholePool []float64, own float64, included bool) (float64, bool) {
	for _, sorted := range [][]float64{group, wholePool} {
		others := len(sorted)
		skip := len(sorted)
		if included {
			others--
			skip, _ = slices.BinarySearch(sorted, own)
		}
		if others < minPeers {
			continue
		}
		at := func(i int) float64 {
			if i >= skip {
				i++
			}
			return sorted[i]
		}
		return (at((others-1)/2) + at(others/2)) / 2, true
	}
	return 0, false
}

// probePasses reports whether a probe is good enough for readmission.
func (t *target) probePasses(s Sample) bool {
	if s.Failed {
		return false
	}
	ratio, ok := s.logRatio()
	return !ok || ratio <= t.peerMedianLogRatio+math.Log(ReadmitFactor)
}
