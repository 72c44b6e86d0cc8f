package owners

import (
	"slices"
	"time"

	"github.com/marjoramflow/marjoramflow/internal/grants"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/owner"
	"github.com/marjoramflow/marjoramflow/topology"
)

// SetTopology sets the topology of the own data centre and the number of live
// entries, by which the slots of targets in fallback groups are divided.
func (mgr *Manager) SetTopology(local *topology.Topology, entries int) {
	mgr.events.TryPush(func(now time.Time) { mgr.applyTopology(now, local, entries) })
}

// applyTopology adds the groups that this daemon owns now, removes those that it no
// longer owns and updates the targets of all groups. Fallback groups stay.
func (mgr *Manager) applyTopology(now time.Time, local *topology.Topology, entries int) {
	mgr.topology = local
	mgr.fallbackShare = max(1, entries)
	mgr.cold.setEntries(now, entries)
	mgr.updateColdTargets(now)
	owned := make(map[groupKey]bool)
	for _, g := range local.OwnedBy(mgr.self) {
		k := groupKey{service: g.Service, number: g.Number}
		owned[k] = true
		if mgr.groups[k] == nil {
			mgr.groups[k] = mgr.newGroupState(k, now.Add(takeoverTime))
		}
	}
	for k, s := range mgr.groups {
		if k.number < grants.FallbackGroup && !owned[k] {
			delete(mgr.groups, k)
			continue
		}
		mgr.applyTargets(now, k, s)
	}
	mgr.setDetectorTargets(now)
}

func (mgr *Manager) newGroupState(k groupKey, takenOverAt time.Time) *groupState {
	options := mgr.groupOptions
	options.Model = mgr.model
	return &groupState{
		group:       owner.NewGroup(k.service, k.number, options),
		takenOverAt: takenOverAt,
	}
}

// applyTargets sets the targets of a group and their states.
func (mgr *Manager) applyTargets(now time.Time, k groupKey, s *groupState) {
	targets := mgr.groupTargets(k)
	infos := make([]owner.TargetInfo, len(targets))
	for i, t := range targets {
		infos[i] = mgr.targetInfo(now, k, s, t)
	}
	mgr.sendDecisions(k, s, s.group.SetTargets(now, infos))
	for _, t := range targets {
		mgr.sendDecisions(k, s, s.group.SetTargetState(now, t.Name, mgr.targetState(t)))
	}
}

// groupTargets returns the targets of a group; a fallback group has all targets of
// its service in the data centre.
func (mgr *Manager) groupTargets(k groupKey) []*object.Target {
	if mgr.topology == nil {
		return nil
	}
	var targets []*object.Target
	for _, g := range mgr.topology.Groups(k.service) {
		if g.Number == k.number || k.number >= grants.FallbackGroup {
			targets = append(targets, g.Targets...)
		}
	}
	return targets
}

func (mgr *Manager) targetInfo(now time.Time, k groupKey, s *groupState, t *object.Target) owner.TargetInfo {
	slots := t.Slots
	switch {
	case k.number >= grants.FallbackGroup:
		slots = max(1, slots/mgr.fallbackShare)
	case !s.takenOver:
		slots = max(1, slots/takeoverSlotsDivisor)
	}
	return owner.TargetInfo{
		Name:     t.Name,
		Hardware: t.Hardware,
		Region:   t.Region,
		Slots:    slots,
		KVTokens: t.KVTokens,
		Versions: mgr.loadedVersions(t),
		Cold:     mgr.cold.limiter(now, k, mgr.topology.DataCentre, t),
	}
}

// loadedVersions returns the configured versions that the target reports as loaded.
// A target that has not reported yet is assumed to have loaded all of them.
func (mgr *Manager) loadedVersions(t *object.Target) []string {
	reported, known := mgr.reportedVersions[t.Name]
	if !known {
		return t.Versions
	}
	return slices.DeleteFunc(slices.Clone(t.Versions), func(v string) bool { return !slices.Contains(reported, v) })
}

func (mgr *Manager) targetState(t *object.Target) owner.TargetState {
	switch {
	case t.Leaving:
		return owner.TargetLeaving
	case t.Evacuated:
		return owner.TargetEvacuated
	}
	return mgr.stateWithEjection(t.Name)
}

// tick evaluates the targets, updates their cold times, gives the groups whose takeover is
// over all their slots and handles deadlines.
func (mgr *Manager) tick(now time.Time) {
	mgr.evaluateTargets(now)
	mgr.tickCold(now)
	for k, s := range mgr.groups {
		if !s.takenOver && !now.Before(s.takenOverAt) {
			s.takenOver = true
			mgr.applyTargets(now, k, s)
		}
		mgr.sendDecisions(k, s, s.group.Tick(now))
	}
}
