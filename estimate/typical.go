package estimate

import (
	"cmp"
	"slices"
)

// typicalRefreshObservations is the number of observations of a version after which
// its typical engine is computed again. In a group of eight engines, that is a few
// observations of each.
const typicalRefreshObservations = 32

// typical holds the medians over the engines of one version. They replace the values
// of an engine that just joined that were not observed yet: the defaults are far from
// any real engine, so an engine planned with them would look too slow to be used.
type typical struct {
	engine
	// untilRefresh counts down the observations until the next computation.
	untilRefresh int
}

// lookup returns the estimates of an engine, or those of the typical engine of its
// version. It returns nil if there are neither.
func (m *Model) lookup(key engineKey) *engine {
	if e := m.engines[key]; e != nil {
		return e
	}
	if t := m.typical[key.version]; t != nil {
		return &t.engine
	}
	return nil
}

func (m *Model) typicalFor(version string) *typical {
	t := m.typical[version]
	if t == nil {
		evictIfFull(m.typical, maxEngines)
		t = &typical{}
		m.typical[version] = t
	}
	return t
}

// refreshTypical counts an observation of a version and recomputes the version's
// typical engine at the first one and then every typicalRefreshObservations.
func (m *Model) refreshTypical(version string) {
	if m.typical == nil {
		return
	}
	t := m.typicalFor(version)
	if t.untilRefresh--; t.untilRefresh > 0 {
		return
	}
	t.untilRefresh = typicalRefreshObservations
	var engines []*engine
	for key, e := range m.engines {
		if key.version == version {
			engines = append(engines, e)
		}
	}
	t.prefillTracker = medianTracker(engines, func(e *engine) *tracker { return &e.prefillTracker })
	t.plainTracker = medianTracker(engines, func(e *engine) *tracker { return &e.plainTracker })
	for i := range t.decodeRatio {
		t.decodeRatio[i] = medianTracker(engines, func(e *engine) *tracker { return &e.decodeRatio[i] })
	}
}

// medianTracker returns the tracker with the median value among those of the engines
// that have observations, or an empty tracker.
func medianTracker(engines []*engine, field func(*engine) *tracker) tracker {
	var observed []*tracker
	for _, e := range engines {
		if t := field(e); t.samples > 0 {
			observed = append(observed, t)
		}
	}
	if len(observed) == 0 {
		return tracker{}
	}
	slices.SortFunc(observed, func(a, b *tracker) int { return cmp.Compare(a.log, b.log) })
	return *observed[len(observed)/2]
}
