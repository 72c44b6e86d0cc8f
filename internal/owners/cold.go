package owners

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marjoramflow/marjoramflow/coldstart"
	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/internal/grants"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/owner"
)

const (
	// cutOffTime is how long daemons that are no longer live are taken to grant targets all
	// the same: a daemon that is cut off becomes the owner of every group that it knows, and
	// cuts last about an hour.
	cutOffTime = time.Hour
	// cutOffMargin multiplies the share of a daemon that may be one of several owners, which
	// cannot reach one another. Beside the bursts, coldstart.Limits leaves about this much for
	// owners that do not replace one another.
	cutOffMargin = 1.25
	// adoptedShare is the share of the rate that is granted to a target of a data centre
	// without live daemons, which may only be cut off. With the owner there, both stay within
	// the figures of coldstart.Limits for two owners.
	adoptedShare = 0.5
	// fallbackRateShare is the share of the rate that all entries together grant without an
	// owner, since the owner may be there for others.
	fallbackRateShare = 0.5
	// fallbackIdle is the time without requests after which the entries may begin to use
	// their fallback groups at the same moment.
	fallbackIdle = 5 * time.Second
)

// ColdConfig says how far the rate of cold targets may be exceeded, and what targets report.
type ColdConfig struct {
	// Overage and Slack are those of coldstart.Limits.
	Overage, Slack float64
	// Report returns what a target last reported; nil means that targets report nothing. It
	// must not block and is called in the goroutine of Run.
	Report func(target string) coldstart.Report
}

// ColdStats are totals for metrics.
type ColdStats struct {
	// ColdTargets is the number of targets of the owned groups that are cold now.
	ColdTargets int
	// DelayedGrants counts the grants of requests that waited for the limit of a cold target.
	DelayedGrants uint64
}

// coldTracker holds what the manager knows about the targets of services with a cold rate.
// It outlives the groups, so that a group that comes back goes on with its count of grants.
// Only stats may be used outside the goroutine of Run.
type coldTracker struct {
	config ColdConfig
	// offset spreads the first grants of fallback groups of different daemons.
	offset  float64
	targets map[string]*coldTarget
	// dataCentres holds the data centres in which a target of such a service was seen.
	dataCentres map[string]bool
	// entries is the number of live entries, mostEntries the largest number that may still be
	// granting, and fewerSince the time since which entries is smaller.
	entries, mostEntries int
	fewerSince           time.Time

	coldTargets   atomic.Int64
	delayedGrants atomic.Uint64
}

// coldTarget is one target of a service with a cold rate.
type coldTarget struct {
	state     coldstart.State
	startedAt time.Time
	// away is set while the target is down or evacuated.
	away bool
	// held is set while this daemon owns the target's group.
	held bool
	// owned and fallback count the grants of the owned group and of the fallback group; each
	// is nil before the first use.
	owned, fallback *coldstart.Limiter
	// loggedCold is the state that was logged last.
	loggedCold bool
}

func newColdTracker(self string, config ColdConfig) *coldTracker {
	return &coldTracker{
		config:      config,
		offset:      float64(xxhash.Sum64String(self)) / math.MaxUint64,
		targets:     make(map[string]*coldTarget),
		dataCentres: make(map[string]bool),
	}
}

// ColdStats returns totals for metrics. It is safe for concurrent use.
func (mgr *Manager) ColdStats() ColdStats {
	return ColdStats{ColdTargets: int(mgr.cold.coldTargets.Load()), DelayedGrants: mgr.cold.delayedGrants.Load()}
}

// setEntries sets the number of live entries.
func (c *coldTracker) setEntries(now time.Time, entries int) {
	c.entries = max(1, entries)
	switch {
	case c.entries >= c.mostEntries || c.cutOffTimeOver(now):
		c.mostEntries, c.fewerSince = c.entries, time.Time{}
	case c.fewerSince.IsZero():
		c.fewerSince = now
	}
}

// ownerShare returns the share of the rate that this daemon grants as an owner. It is below 1
// if so many daemons are missing that they may grant the rest. The shares of daemons that are
// cut off from one another add up to at most cutOffMargin.
func (c *coldTracker) ownerShare() float64 {
	return min(1, cutOffMargin*float64(c.entries)/float64(c.mostEntries))
}

// cutOffTimeOver reports whether the entries that are missing are taken to be gone.
func (c *coldTracker) cutOffTimeOver(now time.Time) bool {
	return !c.fewerSince.IsZero() && now.Sub(c.fewerSince) > cutOffTime
}

// updateColdTargets updates the list of targets from the topology and takes those as cold that
// started or are used again.
func (mgr *Manager) updateColdTargets(now time.Time) {
	c := mgr.cold
	present := make(map[string]bool)
	dataCentres := make(map[string]bool)
	for _, g := range mgr.topology.AllGroups() {
		for _, t := range g.Targets {
			if t.ColdRate > 0 {
				present[t.Name] = true
				dataCentres[t.DataCentre] = true
				c.updateTarget(now, t)
				mgr.noteTargetState(now, t)
			}
		}
	}
	for name := range c.targets {
		if !present[name] {
			delete(c.targets, name)
		}
	}
	mgr.resumeTakenOver(now)
	own := mgr.topology.DataCentre
	dataCentres[own] = dataCentres[own] || c.dataCentres[own]
	c.dataCentres = dataCentres
}

// updateTarget takes a target as cold that started since the last update. The targets of a
// data centre that this daemon sees for the first time are not new; of these, the ones that
// started a short time ago by their own clock are taken as cold.
func (c *coldTracker) updateTarget(now time.Time, t *object.Target) {
	known := c.targets[t.Name]
	started := known == nil && c.dataCentres[t.DataCentre]
	if known == nil {
		known = &coldTarget{startedAt: t.StartedAt}
		c.targets[t.Name] = known
		started = started || now.Sub(t.StartedAt) < t.ColdStart
	}
	if started || t.StartedAt.After(known.startedAt) {
		known.state.Assume(now, t.ColdStart)
	}
	known.startedAt = t.StartedAt
}

// noteTargetState takes a target as cold that is used again after it was down or evacuated.
func (mgr *Manager) noteTargetState(now time.Time, t *object.Target) {
	known := mgr.cold.targets[t.Name]
	if known == nil {
		return
	}
	switch mgr.targetState(t) {
	case owner.TargetDown, owner.TargetEvacuated:
		known.away = true
	case owner.TargetUp:
		if known.away {
			known.state.Assume(now, t.ColdStart)
		}
		known.away = false
	}
}

// limiter returns the limiter of a target in a group, with its present limits and cold time,
// or nil if the target has no cold rate.
func (c *coldTracker) limiter(now time.Time, k groupKey, ownDataCentre string, t *object.Target) *coldstart.Limiter {
	known := c.targets[t.Name]
	if known == nil || t.ColdRate <= 0 {
		return nil
	}
	limits := coldstart.Limits{Rate: t.ColdRate, Overage: c.config.Overage, Slack: c.config.Slack}
	into, share, offset := &known.owned, c.ownerShare(), 0.0
	switch {
	case k.number >= grants.FallbackGroup:
		into, share, offset = &known.fallback, fallbackRateShare/float64(c.entries), c.offset
	case t.DataCentre != ownDataCentre:
		share *= adoptedShare
	}
	if *into == nil {
		*into = coldstart.NewLimiter(now, limits, share, offset)
	} else {
		(*into).SetLimits(now, limits, share)
	}
	(*into).SetColdUntil(c.coldUntil(t.Name))
	return *into
}

// coldUntil returns when a known target is warm.
func (c *coldTracker) coldUntil(target string) time.Time {
	report := coldstart.Report{}
	if c.config.Report != nil {
		report = c.config.Report(target)
	}
	return c.targets[target].state.ColdUntil(report)
}

// resumeTakenOver restarts the limits of the targets that this daemon granted before, and owns
// again after another daemon did.
func (mgr *Manager) resumeTakenOver(now time.Time) {
	if len(mgr.cold.targets) == 0 {
		return
	}
	held := make(map[string]bool)
	for _, g := range mgr.topology.OwnedBy(mgr.self) {
		for _, t := range g.Targets {
			held[t.Name] = true
		}
	}
	for name, known := range mgr.cold.targets {
		if held[name] && !known.held && known.owned != nil {
			known.owned.Resume(now, 0)
		}
		known.held = held[name]
	}
}

// resumeIdleFallback restarts the limits of a fallback group that was not used for a time.
func (mgr *Manager) resumeIdleFallback(now time.Time, k groupKey, s *groupState) {
	if k.number < grants.FallbackGroup {
		return
	}
	idle := now.Sub(s.lastReserve) > fallbackIdle
	s.lastReserve = now
	if !idle {
		return
	}
	for _, t := range mgr.groupTargets(k) {
		if known := mgr.cold.targets[t.Name]; known != nil {
			known.fallback.Resume(now, mgr.cold.offset)
		}
	}
}

// tickCold updates the cold times of the targets of all groups and logs changes.
func (mgr *Manager) tickCold(now time.Time) {
	if mgr.cold.cutOffTimeOver(now) {
		mgr.cold.setEntries(now, mgr.cold.entries)
		for k, s := range mgr.groups {
			mgr.applyTargets(now, k, s)
		}
	}
	if len(mgr.cold.targets) == 0 {
		mgr.cold.coldTargets.Store(0)
		return
	}
	count := 0
	for k := range mgr.groups {
		count += mgr.tickColdGroup(now, k)
	}
	mgr.cold.coldTargets.Store(int64(count))
}

// tickColdGroup updates the cold times of the targets of a group. For an owned group, it logs
// changes and returns the number of cold targets.
func (mgr *Manager) tickColdGroup(now time.Time, k groupKey) (count int) {
	for _, t := range mgr.groupTargets(k) {
		known := mgr.cold.targets[t.Name]
		if known == nil {
			continue
		}
		until := mgr.cold.coldUntil(t.Name)
		if k.number >= grants.FallbackGroup {
			known.fallback.SetColdUntil(until)
			continue
		}
		known.owned.SetColdUntil(until)
		if known.owned.Cold(now) {
			count++
		}
		mgr.logColdChange(now, t.Name, known)
	}
	return count
}

func (mgr *Manager) logColdChange(now time.Time, name string, known *coldTarget) {
	cold := known.owned.Cold(now)
	if cold == known.loggedCold {
		return
	}
	known.loggedCold = cold
	if cold {
		mgr.logger.Emit(eventlog.TargetCold, eventlog.Fields{
			"target": name, "remainingMs": known.owned.ColdUntil().Sub(now).Milliseconds(), "perSecond": known.owned.Rate(),
		})
	} else {
		mgr.logger.Emit(eventlog.TargetWarm, eventlog.Fields{"target": name})
	}
}
