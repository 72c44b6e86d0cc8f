package daemon

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/topology"
)

// places holds the topologies that follow from the configuration in force and
// the live daemons. Reads take no lock; changes are made by one goroutine at a
// time.
type places struct {
	dataCentre string
	region     string

	mu    sync.Mutex
	index *object.Index
	live  map[string][]string
	// liveVersion counts changes of the live lists.
	liveVersion uint64
	snapshot    atomic.Pointer[placesSnapshot]
}

type placesSnapshot struct {
	index  *object.Index
	local  *topology.Topology
	nearby []*topology.Topology
	far    []*topology.Topology
	// adopters names the data centre that schedules the targets of one without live
	// daemons.
	adopters map[string]string
}

func newPlaces(dataCentre, region string) *places {
	p := &places{dataCentre: dataCentre, region: region, live: make(map[string][]string)}
	p.snapshot.Store(&placesSnapshot{local: &topology.Topology{DataCentre: dataCentre}})
	return p
}

// setIndex installs a configuration.
func (p *places) setIndex(index *object.Index) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.index = index
	p.rebuild(nil)
}

// setLive installs the live daemons of a data centre and says whether they changed.
func (p *places) setLive(dataCentre string, daemons []string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if slices.Equal(p.live[dataCentre], daemons) {
		return false
	}
	p.live[dataCentre] = daemons
	p.liveVersion++
	p.rebuild(&dataCentre)
	return true
}

// rebuild derives the topologies; with only set, those of other data centres are
// kept.
func (p *places) rebuild(only *string) {
	if p.index == nil {
		return
	}
	old := p.snapshot.Load()
	regions := p.regions()
	adopters := adoption(regions, p.live)
	if !maps.Equal(adopters, old.adopters) {
		only = nil
	}
	next := &placesSnapshot{index: p.index, adopters: adopters}
	for dataCentre, region := range regions {
		t := old.find(dataCentre)
		if only == nil || *only == dataCentre || t == nil {
			t = p.build(dataCentre, adopters)
		}
		switch {
		case dataCentre == p.dataCentre:
			next.local = t
		case region == p.region:
			next.nearby = append(next.nearby, t)
		default:
			next.far = append(next.far, t)
		}
	}
	sortPlaces(next.nearby)
	sortPlaces(next.far)
	p.snapshot.Store(next)
}

// build derives the topology of a data centre. One whose targets another one
// schedules has no groups.
func (p *places) build(dataCentre string, adopters map[string]string) *topology.Topology {
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
	return topology.Build(p.index, dataCentre, p.live[dataCentre], adopted...)
}

// adoption returns, for each data centre without live daemons, the one that
// schedules its targets: the first by name with live daemons in its region, else in
// any region. All daemons with the same view choose the same.
func adoption(regions map[string]string, live map[string][]string) map[string]string {
	names := slices.Sorted(maps.Keys(regions))
	out := make(map[string]string)
	for _, orphan := range names {
		if len(live[orphan]) > 0 {
			continue
		}
		for _, other := range names {
			if len(live[other]) == 0 {
				continue
			}
			if regions[other] == regions[orphan] {
				out[orphan] = other
				break
			}
			if out[orphan] == "" {
				out[orphan] = other
			}
		}
	}
	return out
}

// regions returns the region of each data centre that has targets, and of the
// own one.
func (p *places) regions() map[string]string {
	out := map[string]string{p.dataCentre: p.region}
	for i := range p.index.Set.Targets {
		t := &p.index.Set.Targets[i]
		out[t.DataCentre] = t.Region
	}
	return out
}

func sortPlaces(list []*topology.Topology) {
	slices.SortFunc(list, func(a, b *topology.Topology) int {
		if a.DataCentre < b.DataCentre {
			return -1
		}
		return 1
	})
}

func (s *placesSnapshot) find(dataCentre string) *topology.Topology {
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

// Index returns the configuration in force, or nil before the first.
func (p *places) Index() *object.Index {
	return p.snapshot.Load().index
}

// Local implements grants.Places.
func (p *places) Local() *topology.Topology {
	return p.snapshot.Load().local
}

// Nearby implements grants.Places.
func (p *places) Nearby() []*topology.Topology {
	return p.snapshot.Load().nearby
}

// Far implements grants.Places.
func (p *places) Far() []*topology.Topology {
	return p.snapshot.Load().far
}

// Target implements grants.Places.
func (p *places) Target(name string) *object.Target {
	index := p.Index()
	if index == nil {
		return nil
	}
	return index.Target(name)
}

// liveIn returns the live daemons of a data centre, with a number that changes
// whenever a list changes.
func (p *places) liveIn(dataCentre string) ([]string, uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.live[dataCentre]), p.liveVersion
}

// liveInRegion returns the number of live daemons of the own region.
func (p *places) liveInRegion() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.index == nil {
		return len(p.live[p.dataCentre])
	}
	count := 0
	for dataCentre, names := range p.live {
		if dataCentre == p.dataCentre || p.index.RegionOf(dataCentre) == p.region {
			count += len(names)
		}
	}
	return count
}

// everyone returns the live daemons of all data centres, in name order.
func (p *places) everyone() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []string
	for _, names := range p.live {
		all = append(all, names...)
	}
	slices.Sort(all)
	return all
}

// ownersByTarget returns the owner of each target.
func (p *places) ownersByTarget() map[string]string {
	s := p.snapshot.Load()
	owners := make(map[string]string)
	for _, t := range append(append([]*topology.Topology{s.local}, s.nearby...), s.far...) {
		for _, g := range t.All() {
			for _, target := range g.Targets {
				owners[target.Name] = g.Owner
			}
		}
	}
	return owners
}
