package owner

import (
	"slices"
	"time"

	"github.com/marjoramflow/marjoramflow/admission"
)

// victimTimeout is the time that the entry of a victim has to stop it before another
// victim is preempted for the same request.
const victimTimeout = 300 * time.Millisecond

// hasVictims reports whether a usable target runs lower-tier work whose preemption
// would make room for j.
func (g *Group) hasVictims(j *job, usable uint64) bool {
	for _, t := range g.targets {
		if t.bit&usable != 0 && g.canMakeRoom(t, j) {
			return true
		}
	}
	return false
}

// preemptionTargets returns the targets on which work may be preempted for a waiting
// request: those that suit it, or, when preemption makes no room there, all those on
// which it may still end in time.
func (g *Group) preemptionTargets(j *job, class admission.Class) uint64 {
	if suitable := class.Suitable & g.upMask(); g.hasVictims(j, suitable) {
		return suitable
	}
	return class.Possible & g.upMask()
}

// lowerTierRuns reports whether preemptible lower-tier work runs on the usable
// targets, whether or not its preemption would make room for j now.
func (g *Group) lowerTierRuns(j *job, usable uint64) bool {
	for _, t := range g.targets {
		if t.bit&usable == 0 {
			continue
		}
		for _, list := range t.victims[j.request.Tier+1:] {
			if list.count > 0 {
				return true
			}
		}
	}
	return false
}

// canMakeRoom reports whether preempting all lower-tier work on a target would
// make room for j.
func (g *Group) canMakeRoom(t *target, j *job) bool {
	if t.state != TargetUp || (j.request.Suspect && t.suspects > 0) {
		return false
	}
	count, kvTokens := 0, 0
	for _, list := range t.victims[j.request.Tier+1:] {
		count += list.count
		kvTokens += list.kvTokens
	}
	if count == 0 {
		return false
	}
	return t.info.KVTokens == 0 || t.kvTokens-t.preemptedKVTokens-kvTokens+t.kvTokensFor(&j.request) <= t.info.KVTokens
}

// preemptFor preempts lower-tier work on one usable target until j has room there.
// It chooses the target that runs the best victim, see betterVictim.
func (g *Group) preemptFor(now time.Time, j *job, usable uint64) {
	var best *job
	for _, t := range g.targets {
		if t.bit&usable == 0 || !g.canMakeRoom(t, j) {
			continue
		}
		if v := t.nextVictim(now, j.request.Tier); best == nil || betterVictim(now, v, best) {
			best = v
		}
	}
	if best == nil {
		return
	}
	t := best.target
	g.preempt(best)
	needed := t.kvTokensFor(&j.request)
	for t.info.KVTokens > 0 && t.kvTokens-t.preemptedKVTokens+needed > t.info.KVTokens {
		v := t.nextVictim(now, j.request.Tier)
		if v == nil {
			break
		}
		g.preempt(v)
	}
	j.lastPreempt = now
	if !slices.Contains(g.preemptors, j) {
		g.preemptors = append(g.preemptors, j)
	}
}

// mayPreemptNow reports whether work may be preempted for a waiting request now. An
// urgent request waits victimTimeout for its last victim before it gets another. Any
// other request waits until no preemption is pending in the group.
func (g *Group) mayPreemptNow(now time.Time, j *job, urgent bool) bool {
	if urgent {
		return now.Sub(j.lastPreempt) >= victimTimeout
	}
	return g.pendingPreemptions == 0
}

// nextPreemptor returns the first waiting request of a tier for which work was
// preempted and that can use a free target, with these targets; nil if there is none.
// It goes before the others of its tier; they lose nothing, because the work was
// preempted for this request.
func (g *Group) nextPreemptor(tier int, free, exclusive uint64) (*job, uint64) {
	g.preemptors = slices.DeleteFunc(g.preemptors, func(j *job) bool { return !j.item.Waiting() && !j.deferred })
	for _, j := range g.preemptors {
		usable := j.item.Class.Possible & free
		if j.request.Suspect {
			usable &= exclusive
		}
		if usable != 0 && j.item.Tier == tier && !j.deferred {
			return j, usable
		}
	}
	return nil, 0
}

// preempt asks the entry of a running job to stop it.
func (g *Group) preempt(victim *job) {
	victim.target.startPreempting(victim)
	g.pendingPreemptions++
	g.addDecision(Preempt, victim, Decision{Target: victim.target.info.Name})
}

// nextVictim returns the best victim on the target that has a lower tier than tier,
// or nil; see betterVictim.
func (t *target) nextVictim(now time.Time, tier int) *job {
	var best *job
	for _, list := range slices.Backward(t.victims[tier+1:]) {
		for v := list.newest; v != nil; v = v.older {
			if best == nil || betterVictim(now, v, best) {
				best = v
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// betterVictim reports whether a is to be preempted before b: the lowest tier
// first, then the lowest preemption cost, then the newest grant.
func betterVictim(now time.Time, a, b *job) bool {
	if a.request.Tier != b.request.Tier {
		return a.request.Tier > b.request.Tier
	}
	if costA, costB := a.preemptionCost(now), b.preemptionCost(now); costA != costB {
		return costA < costB
	}
	return a.granted.After(b.granted)
}
