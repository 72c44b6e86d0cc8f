package owners

import (
	"slices"
	"time"

	"github.com/marjoramflow/marjoramflow/internal/grants"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/owner"
	"github.com/marjoramflow/marjoramflow/topology"
)

// SetTopology tells the topology of the own data centre and the number of live
// entries, which divides the slots of fallback groups.
func (d *Manager) SetTopology(local *topology.Topology, entries int) {
	d.events.TryPush(func(now time.Time) { d.setPlaces(now, local, entries) })
}

func (d *Manager) setPlaces(now time.Time, local *topology.Topology, entries int) {
	d.local = local
	d.fallbackShare = max(1, entries)
	owned := make(map[key]bool)
	for _, g := range local.OwnedBy(d.self) {
		k := key{service: g.Service, number: g.Number}
		owned[k] = true
		if d.groups[k] == nil {
			d.groups[k] = d.newState(k, now.Add(takeoverDelay))
		}
	}
	for k, s := range d.groups {
		if k.number < grants.FallbackGroup && !owned[k] {
			delete(d.groups, k)
			continue
		}
		d.applyTargets(now, k, s)
	}
	d.setDetectorTargets(now)
}

func (d *Manager) newState(k key, opensAt time.Time) *state {
	options := d.group
	options.Model = d.model
	return &state{
		group:   owner.NewGroup(k.service, k.number, options),
		opensAt: opensAt,
	}
}

// applyTargets gives a group its targets and their states.
func (d *Manager) applyTargets(now time.Time, k key, s *state) {
	targets := d.targetsOf(k)
	infos := make([]owner.TargetInfo, len(targets))
	for i, t := range targets {
		infos[i] = d.info(k, t)
	}
	d.send(k, s, s.group.SetTargets(now, infos))
	for _, t := range targets {
		d.send(k, s, s.group.SetTargetState(now, t.Name, d.stateOf(t)))
	}
}

// targetsOf returns the targets of a group; a fallback group has all targets of
// its service in the data centre.
func (d *Manager) targetsOf(k key) []*object.Target {
	if d.local == nil {
		return nil
	}
	var targets []*object.Target
	for _, g := range d.local.Groups(k.service) {
		if g.Number == k.number || k.number >= grants.FallbackGroup {
			targets = append(targets, g.Targets...)
		}
	}
	return targets
}

func (d *Manager) info(k key, t *object.Target) owner.TargetInfo {
	slots := t.Slots
	if k.number >= grants.FallbackGroup {
		slots = max(1, slots/d.fallbackShare)
	}
	return owner.TargetInfo{
		Name:     t.Name,
		Hardware: t.Hardware,
		Slots:    slots,
		KVTokens: t.KVTokens,
		Versions: d.versionsOf(t),
	}
}

// versionsOf are the configured versions that the target reports as loaded. A
// target that has not reported yet is taken to have loaded all of them.
func (d *Manager) versionsOf(t *object.Target) []string {
	loaded, known := d.loaded[t.Name]
	if !known {
		return t.Versions
	}
	return slices.DeleteFunc(slices.Clone(t.Versions), func(v string) bool { return !slices.Contains(loaded, v) })
}

func (d *Manager) stateOf(t *object.Target) owner.TargetState {
	if t.Leaving {
		return owner.TargetLeaving
	}
	return d.combined(t.Name)
}

// open lets a group grant; requests that came earlier take their turn by arrival.
func (d *Manager) open(now time.Time, k key, s *state) {
	s.open = true
	early := s.early
	s.early = nil
	for _, e := range early {
		r := request(e.at, e.from, e.m)
		d.send(k, s, s.group.Reserve(now, r))
	}
}

// tick opens groups that were taken over and lets deadlines pass.
func (d *Manager) tick(now time.Time) {
	d.judgeTargets(now)
	for k, s := range d.groups {
		if !s.open && !now.Before(s.opensAt) {
			d.open(now, k, s)
		}
		d.send(k, s, s.group.Tick(now))
	}
}
