// Package topology derives from a configuration and a list of live daemons
// which target groups exist in a data centre and which daemon owns each. All
// daemons with the same inputs derive the same result.
//
// The package does no I/O. A Topology is read-only and safe for concurrent use. The
// cost of Build grows with the targets and daemons of one data centre, so callers
// build it once per change and not per request.
package topology

import (
	"slices"

	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/owner"
	"github.com/marjoramflow/marjoramflow/residency"
)

// Key identifies a target group. Number is its index, from 0, among the groups of the
// service in the data centre.
type Key struct {
	DataCentre string
	Service    string
	Number     int
}

// Group is a target group with its owner.
type Group struct {
	Key
	Targets []*object.Target
	// Owner is the daemon that owns the group; "" when no daemon is live.
	Owner string
}

// Serves reports whether a target of the group is configured for a version, takes new
// requests, is in an allowed region and is not excluded by name.
func (g *Group) Serves(version string, exclude []string, regions residency.Regions) bool {
	for _, t := range g.Targets {
		if t.TakesRequests() && regions.Allows(t.Region) && slices.Contains(t.Versions, version) && !slices.Contains(exclude, t.Name) {
			return true
		}
	}
	return false
}

// Topology holds the groups of one data centre.
type Topology struct {
	// DataCentre is the data centre that the groups are in.
	DataCentre string
	groups     []Group
	byService  map[string][]*Group
	byKey      map[Key]*Group
}

// Build derives the groups of a data centre from the configuration and the names of
// its live daemons. The groups include the targets of adopted data centres, which
// are those without a live daemon.
func Build(index *object.Index, dataCentre string, daemons []string, adopted ...string) *Topology {
	dataCentres := append([]string{dataCentre}, adopted...)
	targetNames := make(map[string][]string)
	for i := range index.Set.Services {
		service := index.Set.Services[i].Name
		for _, targetDataCentre := range dataCentres {
			for _, target := range index.TargetsIn(service, targetDataCentre) {
				targetNames[service] = append(targetNames[service], target.Name)
			}
		}
	}
	assigned := owner.Assign(targetNames, daemons)
	t := &Topology{
		DataCentre: dataCentre,
		groups:     make([]Group, len(assigned)),
		byService:  make(map[string][]*Group),
		byKey:      make(map[Key]*Group, len(assigned)),
	}
	for i, a := range assigned {
		t.addGroup(i, index, a)
	}
	return t
}

// addGroup fills the group at index i from an assignment of targets to an owner.
func (t *Topology) addGroup(i int, index *object.Index, a owner.Assignment) {
	group := &t.groups[i]
	group.Key = Key{DataCentre: t.DataCentre, Service: a.Service, Number: a.Number}
	group.Owner = a.Daemon
	for _, name := range a.Targets {
		group.Targets = append(group.Targets, index.Target(name))
	}
	t.byService[a.Service] = append(t.byService[a.Service], group)
	t.byKey[group.Key] = group
}

// Groups returns the groups of a service.
func (t *Topology) Groups(service string) []*Group {
	return t.byService[service]
}

// Group returns the group with a key, or nil if there is none.
func (t *Topology) Group(key Key) *Group {
	return t.byKey[key]
}

// OwnedBy returns the groups that a daemon owns.
func (t *Topology) OwnedBy(daemon string) []*Group {
	var owned []*Group
	for i := range t.groups {
		if t.groups[i].Owner == daemon {
			owned = append(owned, &t.groups[i])
		}
	}
	return owned
}

// AllGroups returns all groups. Callers must not change the slice.
func (t *Topology) AllGroups() []Group {
	return t.groups
}
