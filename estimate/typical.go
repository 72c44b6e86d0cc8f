package estimate

import (
	"cmp"
	"slices"
)

// typicalRefresh is the number of observations of a version after which its typical
// engine is computed again: a few for each engine of a group of eight.
const typicalRefresh = 32

// typical holds the medians over the engines of one version. It stands in for what
// an engine that just joined has not shown yet: the defaults are far from any real
// engine, and one planned with them would look too slow to be used.
type typical struct {
	engine
	// unseen counts down the observations until the next computation.
	unseen int
}

// lookup returns the estimates of an engine, or the typical ones of its version; nil
// when nothing of the version was observed.
func (m *Model) lookup(key engineKey) *engine {
	if e := m.engines[key]; e != nil {
		return e
	}
	if t := m.typical[key.version]; t != nil {
		return &t.engine
	}
	return nil
}

func (m *Model) typicalOf(version string) *typical {
	t := m.typical[version]
	if t == nil {
		makeRoom(m.typical, maxEngines)
		t = &typical{}
		m.typical[version] = t
	}
	return t
}

// observed notes an observation of a version.
func (m *Model) observed(version string) {
	if m.typical == nil {
		return
	}
	t := m.typicalOf(version)
	if t.unseen--; t.unseen > 0 {
		return
	}
	t.unseen = typicalRefresh
	var all []*engine
	for key, e := range m.engines {
		if key.version == version {
			all = append(all, e)
		}
	}
	t.prefill = median(all, func(e *engine) *tracker { return &e.prefill })
	t.plain = median(all, func(e *engine) *tracker { return &e.plain })
	for i := range t.decode {
		t.decode[i] = median(all, func(e *engine) *tracker { return &e.decode[i] })
	}
}

// median returns the tracker with the median value of those that observed anything.
func median(all []*engine, of func(*engine) *tracker) tracker {
	var seen []*tracker
	for _, e := range all {
		if t := of(e); t.samples > 0 {
			seen = append(seen, t)
		}
	}
	if len(seen) == 0 {
		return tracker{}
	}
	slices.SortFunc(seen, func(a, b *tracker) int { return cmp.Compare(a.log, b.log) })
	return *seen[len(seen)/2]
}
