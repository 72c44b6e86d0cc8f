package daemon

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/topology"
)

// topologies holds the topology of each data centre, which follows from the configuration in
// force and the live daemons. It implements grants.Topologies and is safe for concurrent
// use: mu serializes changes, and topologies are read from an immutable snapshot without a
// lock.
type topologies struct {
	dataCentre string
	region     string

	mu    sync.Mutex
	index *object.Index
	// live holds the names of the live daemons by data centre.
	live map[string][]string
	// liveVersion counts the changes of live.
	liveVersion uint64
	snapshot    atomic.Pointer[topologySnapshot]
}

// topologySnapshot is an immutable set of topologies: that of this daemon's data centre, those
// of the other data centres of its region (nearby), and those of other regions (far), both in
// the order of data centre names.
type topologySnapshot struct {
	index  *object.Index
	local  *topology.Topology
	nearby []*topology.Topology
	far    []*topology.Topology
	// adopters maps each data centre without live daemons to the one that schedules its
	// targets instead.
	adopters map[string]string
}

func newTopologies(dataCentre, region string) *topologies {
	ts := &topologies{dataCentre: dataCentre, region: region, live: make(map[string][]string)}
	ts.snapshot.Store(&topologySnapshot{local: &topology.Topology{DataCentre: dataCentre}})
	return ts
}

// setIndex installs a configuration and derives all topologies anew.
func (ts *topologies) setIndex(index *object.Index) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	ts.index = index
	ts.rebuild(nil)
}

// setLive installs the live daemons of a data centre and reports whether they changed.
func (ts *topologies) setLive(dataCentre string, daemons []string) bool {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	if slices.Equal(ts.live[dataCentre], daemons) {
		return false
	}
	ts.live[dataCentre] = daemons
	ts.liveVersion++
	ts.rebuild(&dataCentre)
	return true
}

// rebuild derives the topologies of all data centres. If changed is not nil, it derives only
// that of the data centre that it names and keeps the others, unless the adopters changed.
// Before the first configuration it does nothing. The caller holds mu.
func (ts *topologies) rebuild(changed *string) {
	if ts.index == nil {
		return
	}
	old := ts.snapshot.Load()
	regions := ts.regions()
	adopters := assignAdopters(regions, ts.live)
	if !maps.Equal(adopters, old.adopters) {
		changed = nil
	}
	next := &topologySnapshot{index: ts.index, adopters: adopters}
	for dataCentre, region := range regions {
		t := old.topologyOf(dataCentre)
		if changed == nil || *changed == dataCentre || t == nil {
			t = ts.buildTopology(dataCentre, adopters)
		}
		switch {
		case dataCentre == ts.dataCentre:
			next.local = t
		case region == ts.region:
			next.nearby = append(next.nearby, t)
		default:
			next.far = append(next.far, t)
		}
	}
	sortByDataCentre(next.nearby)
	sortByDataCentre(next.far)
	ts.snapshot.Store(next)
}

// buildTopology derives the topology of a data centre, with the targets of the data centres
// that it adopted. A data centre that was adopted has no groups of its own.
func (ts *topologies) buildTopology(dataCentre string, adopters map[string]string) *topology.Topology {
	if adopters[dataCentre] != "" {
		return &topology.Topology{DataCentre: dataCentre}
	}
	var adopted []string
	for orphan, adopter := range adopters {
		if adopter == dataCentre {
			adopted = append(adopted, orphan)
		}
	}
	slices.Sort(adopted)
	return topology.Build(ts.index, dataCentre, ts.live[dataCentre], adopted...)
}

// assignAdopters returns, for each data centre without live daemons, the data centre that
// schedules its targets: the first by name with live daemons in the same region, else in
// any region. Daemons that see the same live daemons choose the same one.
func assignAdopters(regions map[string]string, live map[string][]string) map[string]string {
	names := slices.Sorted(maps.Keys(regions))
	adopters := make(map[string]string)
	for _, orphan := range names {
		if len(live[orphan]) > 0 {
			continue
		}
		for _, other := range names {
			if len(live[other]) == 0 {
				continue
			}
			if regions[other] == regions[orphan] {
				adopters[orphan] = other
				break
			}
			if adopters[orphan] == "" {
				adopters[orphan] = other
			}
		}
	}
	return adopters
}

// regions returns the region of each data centre that has targets, and of this daemon's data
// centre.
func (ts *topologies) regions() map[string]string {
	out := map[string]string{ts.dataCentre: ts.region}
	for i := range ts.index.Set.Targets {
		t := &ts.index.Set.Targets[i]
		out[t.DataCentre] = t.Region
	}
	return out
}

func sortByDataCentre(list []*topology.Topology) {
	slices.SortFunc(list, func(a, b *topology.Topology) int {
		if a.DataCentre < b.DataCentre {
			return -1
		}
		return 1
	})
}

// topologyOf returns the topology of a data centre, or nil if there is none.
func (s *topologySnapshot) topologyOf(dataCentre string) *topology.Topology {
	if s.local != nil && s.local.DataCentre == dataCentre {
		return s.local
	}
	for _, t := range append(slices.Clone(s.nearby), s.far...) {
		if t.DataCentre == dataCentre {
			return t
		}
	}
	return nil
}

// Index returns the configuration in force, or nil before the first one.
func (ts *topologies) Index() *object.Index {
	return ts.snapshot.Load().index
}

// Local implements grants.Topologies.
func (ts *topologies) Local() *topology.Topology {
	return ts.snapshot.Load().local
}

// Nearby implements grants.Topologies.
func (ts *topologies) Nearby() []*topology.Topology {
	return ts.snapshot.Load().nearby
}

// Far implements grants.Topologies.
func (ts *topologies) Far() []*topology.Topology {
	return ts.snapshot.Load().far
}

// Target implements grants.Topologies.
func (ts *topologies) Target(name string) *object.Target {
	index := ts.Index()
	if index == nil {
		return nil
	}
	return index.Target(name)
}

// liveInDataCentre returns the live daemons of a data centre, and a number that changes
// whenever the live daemons of any data centre change.
func (ts *topologies) liveInDataCentre(dataCentre string) ([]string, uint64) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return slices.Clone(ts.live[dataCentre]), ts.liveVersion
}

// countLiveInRegion returns the number of live daemons in this daemon's region.
func (ts *topologies) countLiveInRegion() int {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	if ts.index == nil {
		return len(ts.live[ts.dataCentre])
	}
	count := 0
	for dataCentre, names := range ts.live {
		if dataCentre == ts.dataCentre || ts.index.RegionOf(dataCentre) == ts.region {
			count += len(names)
		}
	}
	return count
}

// countLive returns the number of live daemons of all data centres.
func (ts *topologies) countLive() int {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	count := 0
	for _, names := range ts.live {
		count += len(names)
	}
	return count
}

// liveAll returns the live daemons of all data centres, in name order.
func (ts *topologies) liveAll() []string {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	var all []string
	for _, names := range ts.live {
		all = append(all, names...)
	}
	slices.Sort(all)
	return all
}

// ownersByTarget returns the daemon that owns each target, by target name.
func (ts *topologies) ownersByTarget() map[string]string {
	s := ts.snapshot.Load()
	owners := make(map[string]string)
	for _, t := range append(append([]*topology.Topology{s.local}, s.nearby...), s.far...) {
		for _, g := range t.AllGroups() {
			for _, target := range g.Targets {
				owners[target.Name] = g.Owner
			}
		}
	}
	return owners
}
