package catalog

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/provider"
)

// Suffixes of version names. The targets of a service are divided into those of the stable
// version and those of the version that a move tries out.
const (
	stableSuffix = ".stable"
	canarySuffix = ".canary"
	// withdrawnSuffix is that of the version that stands for all versions which earlier moves
	// tried out and did not put into service. No request is sent to it.
	withdrawnSuffix = ".withdrawn"
)

// StableVersion returns the name of the stable version of a service.
func StableVersion(service string) string { return service + stableSuffix }

// CanaryVersion returns the name of the version of a service that a move tries out.
func CanaryVersion(service string) string { return service + canarySuffix }

// WithdrawnVersion returns the name of the version of a service that gets no requests because an
// earlier move did not put it into service.
func WithdrawnVersion(service string) string { return service + withdrawnSuffix }

// Move is an order with the deadline by which it must be completed or rolled back.
type Move struct {
	Order
	// Name is the name of the move. It is Order.MoveName of the order when it was first read;
	// the revision changes when the operator writes the order again after a restore of the store.
	// The default is Order.MoveName.
	Name     string
	Deadline time.Time
	// Replaced are the numbers of the rows of the last orders before this one.
	Replaced []uint64
	// Withdrawn are the versions of the software that earlier orders did not put into service.
	// Their targets get no requests until they are ordered again.
	Withdrawn []string
	// Serves is set if the ordered version already serves, for example when it replaces an
	// order that is to be undone. Its targets serve all along then.
	Serves bool
	// Provisional is set while only the order is known. Its version is on trial already, but
	// there is no move yet.
	Provisional bool
}

// canarySharePercent is the share of requests that a new version gets until shortly before
// the deadline. Faults that show only late or under load must not have affected more than a
// tenth of the requests by then.
const canarySharePercent = 5

// minMoveSoak is the least time at full share after which a move is done. It covers answers of
// usual length and the way of their evidence.
const minMoveSoak = 950 * time.Millisecond

// soakTime returns the time at full share after which the move is done. A fault that shows at
// its end must not have affected more than a tenth of the requests, together with
// canarySharePercent before it.
func (m *Move) soakTime() time.Duration {
	return max(minMoveSoak, m.MaxDuration*canarySharePercent/100)
}

// MoveName returns the name of the move of an order. It contains the version and the number of the
// revision, so that each order is a move of its own, also one for a version that was ordered
// before. An order that a restored store still has keeps its name. Service and version are
// shortened if they are long.
func (o Order) MoveName() string {
	name := provider.KeySegment(o.Service) + ".to." + provider.KeySegment(o.To)
	if number := provider.Number(o.Revision); number > 0 {
		name += "." + strconv.FormatUint(number, 10)
	}
	return name
}

// toObject returns the move as operators would publish it.
func (m *Move) toObject() object.Move {
	return object.Move{
		Name:     cmp.Or(m.Name, m.MoveName()),
		Service:  m.Service,
		From:     StableVersion(m.Service),
		To:       CanaryVersion(m.Service),
		Deadline: m.Deadline,
		Steps:    []float64{canarySharePercent, 100},
		Soak:     m.soakTime(),
	}
}

// State is the last known content of a source. It is not safe for concurrent use.
type State struct {
	manifest  *Manifest
	instances map[string]Instance
	moves     map[string]Move
	// evacuations holds the evacuations in force by the keys of their rows.
	evacuations map[string]Evacuation
	regions     map[string]string
}

// NewState returns an empty state. The map regions holds the region of each data centre.
func NewState(regions map[string]string) *State {
	return &State{
		instances:   make(map[string]Instance),
		moves:       make(map[string]Move),
		evacuations: make(map[string]Evacuation),
		regions:     regions,
	}
}

// SetManifest replaces the manifest if the given one has a higher version. It reports
// whether it did.
func (s *State) SetManifest(m *Manifest) bool {
	if s.manifest != nil && m.Version <= s.manifest.Version {
		return false
	}
	s.manifest = m
	return true
}

// Manifest returns the manifest, or nil before the first one.
func (s *State) Manifest() *Manifest {
	return s.manifest
}

// SetInstance adds or replaces a registered target and reports whether anything changed but
// its cold time, which is not kept.
func (s *State) SetInstance(i Instance) bool {
	i.ColdUntil = time.Time{}
	old, known := s.instances[i.ID]
	s.instances[i.ID] = i
	return !known || old != i
}

// RemoveInstance removes a target and reports whether it was registered.
func (s *State) RemoveInstance(id string) bool {
	_, known := s.instances[id]
	delete(s.instances, id)
	return known
}

// Instance returns the target with an id, and false if it is not registered.
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

// SetMove sets the move of a service and replaces an earlier one. A move whose order is older
// than that of the present one is ignored. Revisions of different eras of the store do not tell
// which order is older; the caller then passes only the move in force.
func (s *State) SetMove(m Move) {
	known := s.moves[m.Service].Revision
	if provider.Era(known) == provider.Era(m.Revision) && known > m.Revision {
		return
	}
	s.moves[m.Service] = m
}

// noteOrder keeps the targets of an ordered version apart until its move is known, and reports
// whether anything changed. While a move of the service is known, it stays in force.
func (s *State) noteOrder(order Order) bool {
	if _, known := s.moves[order.Service]; known {
		return false
	}
	s.moves[order.Service] = Move{Order: order, Provisional: true}
	return true
}

// SetEvacuation puts the evacuation of a row in force and reports whether anything changed.
func (s *State) SetEvacuation(key string, e Evacuation) bool {
	old, known := s.evacuations[key]
	s.evacuations[key] = e
	return !known || old != e
}

// EndEvacuation ends the evacuation of a row. It returns the evacuation, and false if there is
// none.
func (s *State) EndEvacuation(key string) (Evacuation, bool) {
	e, known := s.evacuations[key]
	delete(s.evacuations, key)
	return e, known
}

// EvacuationKeys returns the keys of the rows of all evacuations in force.
func (s *State) EvacuationKeys() []string {
	return slices.Collect(maps.Keys(s.evacuations))
}

// buildEvacuations returns the evacuations of known data centres, in the order of their keys.
func (s *State) buildEvacuations() []object.Evacuation {
	var out []object.Evacuation
	for _, key := range slices.Sorted(maps.Keys(s.evacuations)) {
		dataCentre := s.evacuations[key].DataCentre
		if _, known := s.regions[dataCentre]; known {
			out = append(out, object.Evacuation{DataCentre: dataCentre})
		}
	}
	return out
}

// Build returns the object set of the state, or nil before the first manifest. Targets whose
// service is not in the manifest or whose data centre is unknown are left out.
func (s *State) Build() *object.Set {
	if s.manifest == nil {
		return nil
	}
	m := s.manifest
	set := &object.Set{
		External:       true,
		Services:       slices.Clone(m.Services),
		Tiers:          m.Tiers,
		ClientAccounts: m.Accounts,
		Ingresses:      m.Ingresses,
	}
	for i := range set.Services {
		service := &set.Services[i]
		service.Version = StableVersion(service.Name)
		for _, name := range s.versionNames(service.Name) {
			version := object.Version{Name: name, Service: service.Name}
			if service.Kind == object.ModelService {
				version.Model = service.Name
			}
			set.Versions = append(set.Versions, version)
		}
	}
	set.Targets = s.buildTargets(set.Services)
	set.Moves = s.buildMoves(set.Services)
	set.Evacuations = s.buildEvacuations()
	return set
}

// buildTargets returns the targets of configured services in known data centres, by id.
func (s *State) buildTargets(services []object.Service) []object.Target {
	known := make(map[string]bool, len(services))
	for _, service := range services {
		known[service.Name] = true
	}
	var out []object.Target
	for _, i := range s.newestByAddress() {
		region, hasRegion := s.regions[i.DataCentre]
		if !known[i.Service] || !hasRegion {
			continue
		}
		out = append(out, object.Target{
			Name:       i.ID,
			Service:    i.Service,
			DataCentre: i.DataCentre,
			Region:     region,
			Address:    i.Address,
			// Targets of one service differ in speed and do not report it, so estimates
			// are kept for each target.
			Hardware: i.ID,
			Slots:    i.Slots,
			KVTokens: s.manifest.KVTokens[i.Service],
			Versions: s.servedVersions(&i),
			Leaving:  i.Draining,

			StartedAt: i.StartedAt,
		})
	}
	return out
}

// buildMoves returns the moves of the configured services, in the order of the services.
func (s *State) buildMoves(services []object.Service) []object.Move {
	var out []object.Move
	for _, service := range services {
		if move, moving := s.moves[service.Name]; moving && !move.Provisional {
			out = append(out, move.toObject())
		}
	}
	return out
}

// newestByAddress returns the instances in the order of their ids. Of several with the same
// address it returns only the one that started last, since the others cannot be there any
// more.
func (s *State) newestByAddress() []Instance {
	byAddress := make(map[string]Instance, len(s.instances))
	for _, i := range s.instances {
		other, found := byAddress[i.Address]
		if !found || i.StartedAt.After(other.StartedAt) || (i.StartedAt.Equal(other.StartedAt) && i.ID > other.ID) {
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

// versionNames returns the names of the versions of a service.
func (s *State) versionNames(service string) []string {
	names := []string{StableVersion(service), CanaryVersion(service)}
	if len(s.moves[service].Withdrawn) > 0 {
		names = append(names, WithdrawnVersion(service))
	}
	return names
}

// servedVersions returns the names of the versions that a target belongs to. The shares of a
// move decide how many requests the stable version and the canary get.
func (s *State) servedVersions(i *Instance) []string {
	move, moving := s.moves[i.Service]
	switch {
	case moving && i.Version == move.To && (move.Serves || s.servesAlone(&move)):
		return []string{StableVersion(i.Service), CanaryVersion(i.Service)}
	case moving && i.Version == move.To:
		return []string{CanaryVersion(i.Service)}
	case slices.Contains(move.Withdrawn, i.Version):
		return []string{WithdrawnVersion(i.Service)}
	}
	return []string{StableVersion(i.Service)}
}

// servesAlone reports whether the version of a provisional move is the only one that can serve,
// as after a move that was completed.
func (s *State) servesAlone(move *Move) bool {
	if !move.Provisional {
		return false
	}
	for _, i := range s.instances {
		if i.Service == move.Service && i.Version != move.To && !i.Draining {
			return false
		}
	}
	return true
}

// registeredVersions returns the versions of the registered targets of a service, in order.
func (s *State) registeredVersions(service string) []string {
	versions := make(map[string]bool)
	for _, i := range s.instances {
		if i.Service == service {
			versions[i.Version] = true
		}
	}
	return slices.Sorted(maps.Keys(versions))
}
