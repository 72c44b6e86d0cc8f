package catalog

import (
	"cmp"
	"slices"
	"time"

	"github.com/marjoramflow/marjoramflow/object"
)

// Labels of versions. Targets of a service are divided into those that serve and
// those of a version that is being tried.
const (
	stableLabel = ".stable"
	canaryLabel = ".canary"
)

// StableVersion names the version that serves a service.
func StableVersion(service string) string { return service + stableLabel }

// CanaryVersion names the version of a service that is being tried.
func CanaryVersion(service string) string { return service + canaryLabel }

// Move is an order with the time by which it has to be done or taken back.
type Move struct {
	Order
	Deadline time.Time
}

// canaryShare is the share of requests, in percent, that a new version gets until
// shortly before the deadline. Faults that show late or under load must not have
// reached more than a tenth of the requests by then.
const canaryShare = 5

// moveSoak is the time at full share before a move counts as done.
const moveSoak = 500 * time.Millisecond

// object returns the move as operators would publish it. Its name tells the version,
// so that a later order to another version is another move.
func (m *Move) object() object.Move {
	return object.Move{
		Name:     m.Service + ".to." + m.To,
		Service:  m.Service,
		From:     StableVersion(m.Service),
		To:       CanaryVersion(m.Service),
		Deadline: m.Deadline,
		Steps:    []float64{canaryShare, 100},
		Soak:     moveSoak,
	}
}

// State is the newest known picture. It is not safe for concurrent use.
type State struct {
	manifest  *Manifest
	instances map[string]Instance
	moves     map[string]Move
	regions   map[string]string
}

// NewState returns an empty state. Regions names the region of each data centre.
func NewState(regions map[string]string) *State {
	return &State{
		instances: make(map[string]Instance),
		moves:     make(map[string]Move),
		regions:   regions,
	}
}

// SetManifest takes a manifest, unless a newer one is known. It reports whether
// the manifest was taken.
func (s *State) SetManifest(m *Manifest) bool {
	if s.manifest != nil && m.Version <= s.manifest.Version {
		return false
	}
	s.manifest = m
	return true
}

// Manifest returns the manifest, or nil before the first.
func (s *State) Manifest() *Manifest {
	return s.manifest
}

// SetInstance takes a registered target and says whether anything changed.
func (s *State) SetInstance(i Instance) bool {
	old, known := s.instances[i.ID]
	s.instances[i.ID] = i
	return !known || old != i
}

// RemoveInstance forgets a target and says whether it was known.
func (s *State) RemoveInstance(id string) bool {
	_, known := s.instances[id]
	delete(s.instances, id)
	return known
}

// Instance returns a registered target.
func (s *State) Instance(id string) (Instance, bool) {
	i, known := s.instances[id]
	return i, known
}

// InstanceIDs returns the ids of all registered targets.
func (s *State) InstanceIDs() []string {
	ids := make([]string, 0, len(s.instances))
	for id := range s.instances {
		ids = append(ids, id)
	}
	return ids
}

// SetMove sets the move of a service.
func (s *State) SetMove(m Move) {
	s.moves[m.Service] = m
}

// Build returns the object set of the state, or nil before the first manifest.
// Targets that the manifest or the data centres do not permit are left out.
func (s *State) Build() *object.Set {
	if s.manifest == nil {
		return nil
	}
	m := s.manifest
	set := &object.Set{
		Services:       slices.Clone(m.Services),
		Tiers:          m.Tiers,
		ClientAccounts: m.Accounts,
		Ingresses:      m.Ingresses,
	}
	for i := range set.Services {
		service := &set.Services[i]
		service.Version = StableVersion(service.Name)
		for _, name := range []string{StableVersion(service.Name), CanaryVersion(service.Name)} {
			version := object.Version{Name: name, Service: service.Name}
			if service.Kind == object.ModelService {
				version.Model = service.Name
			}
			set.Versions = append(set.Versions, version)
		}
	}
	set.Targets = s.targets(set.Services)
	set.Moves = s.objectMoves(set.Services)
	return set
}

func (s *State) targets(services []object.Service) []object.Target {
	known := make(map[string]bool, len(services))
	for _, service := range services {
		known[service.Name] = true
	}
	var out []object.Target
	for _, i := range s.newestByAddress() {
		region, placed := s.regions[i.DataCentre]
		if !known[i.Service] || !placed {
			continue
		}
		out = append(out, object.Target{
			Name:       i.ID,
			Service:    i.Service,
			DataCentre: i.DataCentre,
			Region:     region,
			Address:    i.Address,
			// Targets of one service differ in speed without saying so, so estimates
			// are kept for each.
			Hardware: i.ID,
			Slots:    i.Slots,
			KVTokens: s.manifest.KVTokens[i.Service],
			Versions: []string{s.label(&i)},
			Leaving:  i.Draining,
		})
	}
	return out
}

// objectMoves returns the moves of the services that are configured, in their order.
func (s *State) objectMoves(services []object.Service) []object.Move {
	var out []object.Move
	for _, service := range services {
		if move, moving := s.moves[service.Name]; moving {
			out = append(out, move.object())
		}
	}
	return out
}

// newestByAddress returns the instances in order of their ids. Of those that name
// the same address, only the one that started last can be there.
func (s *State) newestByAddress() []Instance {
	byAddress := make(map[string]Instance, len(s.instances))
	for _, i := range s.instances {
		other, taken := byAddress[i.Address]
		if !taken || i.StartedAt.After(other.StartedAt) || (i.StartedAt.Equal(other.StartedAt) && i.ID > other.ID) {
			byAddress[i.Address] = i
		}
	}
	out := make([]Instance, 0, len(byAddress))
	for _, i := range byAddress {
		out = append(out, i)
	}
	slices.SortFunc(out, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// label returns the version label of a target. The shares of a move decide how
// many requests each label gets.
func (s *State) label(i *Instance) string {
	if move, moving := s.moves[i.Service]; moving && i.Version == move.To {
		return CanaryVersion(i.Service)
	}
	return StableVersion(i.Service)
}
