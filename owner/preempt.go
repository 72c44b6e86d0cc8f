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

// preemptOn returns the targets on which work may be preempted for a waiting request:
// those that suit it, or those on which it might still end in time when nothing can
// be preempted on the others.
func (g *Group) preemptOn(j *job, class admission.Class) uint64 {
	if suits := class.Targets & g.upMask(); g.hasVictims(j, suits) {
		return suits
	}
	return class.Possible & g.upMask()
}

// lowerRuns reports whether preemptible lower-tier work runs on the targets,
// whether or not it could make room now.
func (g *Group) lowerRuns(j *job, usable uint64) bool {
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
	count, kv := 0, 0
	for _, list := range t.victims[j.request.Tier+1:] {
		count += list.count
		kv += list.kv
	}
	if count == 0 {
		return false
	}
	return t.info.KVTokens == 0 || t.kv-t.stoppingKV-kv+t.need(&j.request) <= t.info.KVTokens
}

// preemptFor stops lower-tier work on one usable target until j has room there.
// The first victim decides the target; see betterVictim.
func (g *Group) preemptFor(now time.Time, j *job, usable uint64) {
	var first *job
	for _, t := range g.targets {
		if t.bit&usable == 0 || !g.canMakeRoom(t, j) {
			continue
		}
		if v := t.nextVictim(now, j.request.Tier); first == nil || betterVictim(now, v, first) {
			first = v
		}
	}
	if first == nil {
		return
	}
	t := first.target
	g.preempt(first)
	need := t.need(&j.request)
	for t.info.KVTokens > 0 && t.kv-t.stoppingKV+need > t.info.KVTokens {
		v := t.nextVictim(now, j.request.Tier)
		if v == nil {
			break
		}
		g.preempt(v)
	}
	j.lastPreempt = now
	if !slices.Contains(g.rescued, j) {
		g.rescued = append(g.rescued, j)
	}
}

// mayPreemptNow limits preemption for a waiting request: an urgent one waits for
// its victim before it takes another, any other one for all victims.
func (g *Group) mayPreemptNow(now time.Time, j *job, urgent bool) bool {
	if urgent {
		return now.Sub(j.lastPreempt) >= victimTimeout
	}
	return g.preempting == 0
}

// rescue returns the first request of a tier for which work was preempted and
// the free targets that it can use, or nil. The freed place is extra room, so the
// others of its tier lose nothing.
func (g *Group) rescue(tier int, free, exclusive uint64) (*job, uint64) {
	g.rescued = slices.DeleteFunc(g.rescued, func(j *job) bool { return !j.item.Waiting() && !j.aside })
	for _, j := range g.rescued {
		usable := j.item.Class.Possible & free
		if j.request.Suspect {
			usable &= exclusive
		}
		if usable != 0 && j.item.Tier == tier && !j.aside {
			return j, usable
		}
	}
	return nil, 0
}

func (g *Group) preempt(victim *job) {
	victim.target.startPreempting(victim)
	g.preempting++
	g.decide(Preempt, victim, Decision{Target: victim.target.info.Name})
}

// nextVictim returns the best victim of a tier lower than tier, or nil.
func (t *target) nextVictim(now time.Time, tier int) *job {
	var first *job
	for _, list := range slices.Backward(t.victims[tier+1:]) {
		for v := list.newest; v != nil; v = v.older {
			if first == nil || betterVictim(now, v, first) {
				first = v
			}
		}
		if first != nil {
			return first
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
	if lossA, lossB := a.loss(now), b.loss(now); lossA != lossB {
		return lossA < lossB
	}
	return a.granted.After(b.granted)
}
