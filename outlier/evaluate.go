package outlier

import (
	"math"
	"slices"
)

// peerGroup holds the sorted evidence of targets that are compared.
type peerGroup struct {
	means, failures []float64
}

// judge updates the run of bad evaluations of each target in use, and returns
// those that are bad now.
func judge(pool []*target) []verdict {
	groups := map[string]*peerGroup{}
	whole := &peerGroup{}
	for _, t := range pool {
		group := groups[t.Hardware]
		if group == nil {
			group = &peerGroup{}
			groups[t.Hardware] = group
		}
		group.add(t)
		whole.add(t)
	}
	for _, group := range groups {
		group.sort()
	}
	whole.sort()
	var out []verdict
	for _, t := range pool {
		v, bad := t.judge(groups[t.Hardware], whole)
		if !bad {
			t.bad = 0
			continue
		}
		t.bad++
		out = append(out, v)
	}
	return out
}

func (g *peerGroup) add(t *target) {
	w := t.evidence()
	if t.ejected {
		return
	}
	if w.timed >= MinSamples {
		g.means = append(g.means, w.mean())
	}
	if w.requests >= MinSamples {
		g.failures = append(g.failures, w.failureShare())
	}
}

func (g *peerGroup) sort() {
	slices.Sort(g.means)
	slices.Sort(g.failures)
}

func (t *target) evidence() window {
	return t.current.plus(t.previous)
}

// judge compares a target with its peers. It also notes the peers' speed for
// later probes.
func (t *target) judge(group, whole *peerGroup) (verdict, bool) {
	w := t.evidence()
	if mean, ok := medianOfOthers(group.means, whole.means, w.mean(), !t.ejected && w.timed >= MinSamples); ok {
		t.peerLogMean = mean
		excess := w.mean() - mean - 2*w.standardError() - math.Log(SlowFactor)
		if !t.ejected && !t.IgnoreSlowness && w.timed >= MinSamples && excess > 0 {
			return verdict{t, Slow, excess}, true
		}
	}
	if t.ejected || w.requests < MinSamples {
		return verdict{}, false
	}
	share, ok := medianOfOthers(group.failures, whole.failures, w.failureShare(), true)
	if !ok || w.failureShare() < share+FailureExcess {
		return verdict{}, false
	}
	// Failures weigh more than slowness.
	return verdict{t, Failing, 100 + w.failureShare()}, true
}

// medianOfOthers returns the median of the hardware generation, or of the whole
// pool when too few others have samples. Own is left out when it is included.
func medianOfOthers(group, whole []float64, own float64, included bool) (float64, bool) {
	for _, sorted := range [][]float64{group, whole} {
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

// passes reports whether a probe is good enough for readmission.
func (t *target) passes(s Sample) bool {
	if s.Failed {
		return false
	}
	ratio, ok := s.logRatio()
	return !ok || ratio <= t.peerLogMean+math.Log(ReadmitFactor)
}
