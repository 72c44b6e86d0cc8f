package owner

import (
	"slices"
	"time"

	"github.com/marjoramflow/marjoramflow/admission"
)

// victimTimeout is the time that the entry of a victim gets to stop it before
// another one is preempted for the same request.
const victimTimeout = 300 * time.Millisecond

// hasVictims reports whether lower-tier work that could make room for j runs on
// a target that j can use.
func (g *Group) hasVictims(j *job, usable uint64) bool {
	for _, t := range g.targets {
		if t.bit&usable != 0 && g.canMakeRoom(t, j) {
			return true
		}
	}
	return false
}

// preemptionTargets returns the targets on which work may be preempted for a waiting request:
// those that suit it, or those on which it might still end in time when nothing can
// be preempted on the others.
func (g *Group) preemptionTargets(j *job, class admission.Class) uint64 {
	if suitable := class.Targets & g.upMask(); g.hasVictims(j, suitable) {
		return suitable
	}
	return class.Possible & g.upMask()
}

// lowerTierRuns reports whether preemptible lower-tier work runs on the targets,
// whether or not it could make room now.
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

// preemptFor stops lower-tier work on one usable target until j has room there.
// The first victim decides the target; see betterVictim.
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

// mayPreemptNow limits preemption for a waiting request: an urgent one waits for
// its victim before it takes another, any other one for all victims.
func (g *Group) mayPreemptNow(now time.Time, j *job, urgent bool) bool {
	if urgent {
		return now.Sub(j.lastPreempt) >= victimTimeout
	}
	return g.pendingPreemptions == 0
}

// rescue returns the first request of a tier for which work was preempted and
// the free targets that it can use, or nil. The freed place is extra room, so the
// others of its tier lose nothing.
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

func (g *Group) preempt(victim *job) {
	victim.target.startPreempting(victim)
	g.pendingPreemptions++
	g.addDecision(Preempt, victim, Decision{Target: victim.target.info.Name})
}

// nextVictim returns the best victim of a tier lower than tier, or nil.
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
// first, then the least loss of prefill, then the newest.
func betterVictim(now time.Time, a, b *job) bool {
	if a.request.Tier != b.request.Tier {
		return a.request.Tier > b.request.Tier
	}
	if costA, costB := a.preemptionCost(now), b.preemptionCost(now); costA != costB {
		return costA < costB
	}
	return a.granted.After(b.granted)
}
