package owner

import (
	"slices"
	"time"
)

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

// canMakeRoom reports whether preempting all lower-tier work on a target would
// make room for j.
func (g *Group) canMakeRoom(t *target, j *job) bool {
	if t.state != Up || (j.request.Suspect && t.suspects > 0) {
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

// preemptFor stops lower-tier work on one target until j has room there. The
// first victim decides the target: work that has not finished its prefill comes
// first, then the lowest tier, then the newest.
func (g *Group) preemptFor(now time.Time, j *job) {
	usable := j.item.Class.Targets
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
	j.victims++
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
		if list.newest != nil && (first == nil || betterVictim(now, list.newest, first)) {
			first = list.newest
		}
	}
	return first
}

// betterVictim reports whether a is to be preempted before b.
func betterVictim(now time.Time, a, b *job) bool {
	if a.prefilling(now) != b.prefilling(now) {
		return a.prefilling(now)
	}
	if a.request.Tier != b.request.Tier {
		return a.request.Tier > b.request.Tier
	}
	return a.granted.After(b.granted)
}
