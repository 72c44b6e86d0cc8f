package owner

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// randomRun drives a group with random calls and checks the invariants after each.
type randomRun struct {
	t        *testing.T
	g        *Group
	rng      *rand.Rand
	now      time.Time
	requests map[string]Request
	// granted holds the target of each granted request, by request ID.
	granted        map[string]string
	waiting        map[string]bool
	beingPreempted map[string]bool
	// resynced are granted requests that the group knows from a Resync only. They may
	// exceed the limits of their target.
	resynced map[string]bool
	// preemptors are requests for which lower-tier work was asked to stop.
	preemptors map[string]bool
	// preemptableSince is the time from which on preemption could have made room for a
	// waiting request close to its deadline.
	preemptableSince map[string]time.Time
	lastID           int
	counts           map[string]int
}

// Guards, over random sequences of calls, against a higher tier that is shed while
// preemption of lower-tier work could make room (promise R2), lower-tier work that is
// dispatched before a higher tier, too many requests or KV tokens on a target,
// suspects that share a target, grants on unsuitable targets, and lost requests.
func TestRandomCallsKeepTheRules(t *testing.T) {
	counts := make(map[string]int)
	for seed := range uint64(100) {
		r := newRun(t, seed, counts)
		for range 1500 {
			r.step()
			if t.Failed() {
				t.Fatalf("seed %d", seed)
			}
		}
	}
	t.Log(counts)
	for _, kind := range []string{"grant", "queued", "preempt", "capacity", "expired", "no-target", "preemption-needed"} {
		assert.Assert(t, counts[kind] > 0, "no decision %q in all runs", kind)
	}
}

func newRun(t *testing.T, seed uint64, counts map[string]int) *randomRun {
	r := &randomRun{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), now: start, counts: counts,
		requests: make(map[string]Request), granted: make(map[string]string),
		waiting: make(map[string]bool), beingPreempted: make(map[string]bool), resynced: make(map[string]bool),
		preemptors: make(map[string]bool), preemptableSince: make(map[string]time.Time),
	}
	r.g = NewGroup("s", 0, Options{MaxWaiting: 20 + r.rng.IntN(200)})
	r.setTargets()
	return r
}

func (r *randomRun) setTargets() {
	var infos []TargetInfo
	for i := range 1 + r.rng.IntN(8) {
		info := TargetInfo{
			Name: fmt.Sprintf("t%d", i), Hardware: fmt.Sprintf("h%d", i%2),
			Slots: 1 + i%4, KVTokens: 3000 + 1000*(i%3), Versions: []string{"v1"},
		}
		if i%2 == 0 {
			info.Versions = append(info.Versions, "v2")
		}
		infos = append(infos, info)
	}
	r.checkDecisions(r.g.SetTargets(r.now, infos))
}

func (r *randomRun) step() {
	r.now = r.now.Add(time.Duration(r.rng.IntN(60)) * time.Millisecond)
	switch n := r.rng.IntN(100); {
	case n < 45:
		r.reserve()
	case n < 75:
		r.release()
	case n < 80:
		r.cancel()
	case n < 82:
		r.changeState()
	case n < 83:
		r.setTargets()
	case n < 84:
		r.dropEntry()
	case n < 85:
		r.resync()
	default:
		r.checkDecisions(r.g.Tick(r.now))
	}
}

func (r *randomRun) reserve() {
	r.lastID++
	req := Request{
		ID: fmt.Sprint(r.lastID), Entry: fmt.Sprintf("e%d", r.rng.IntN(4)), Service: "s",
		Version: []string{"v1", "v1", "v1", "v2"}[r.rng.IntN(4)], Account: fmt.Sprintf("a%d", r.rng.IntN(5)),
		Tier: r.rng.IntN(3), PromptTokens: 1 + r.rng.IntN(1500), OutputTokens: 1 + r.rng.IntN(300),
		Deadline:    r.now.Add(time.Duration(200+r.rng.IntN(20000)) * time.Millisecond),
		Preemptible: r.rng.IntN(4) > 0, MayPreempt: r.rng.IntN(2) > 0,
		Suspect: r.rng.IntN(15) == 0, Plain: r.rng.IntN(15) == 0,
	}
	if r.rng.IntN(10) == 0 {
		req.Exclude = []string{fmt.Sprintf("t%d", r.rng.IntN(3))}
	}
	if r.rng.IntN(2) == 0 {
		req.FirstTokenBy = r.now.Add(time.Duration(100+r.rng.IntN(3000)) * time.Millisecond)
	}
	if r.rng.IntN(20) == 0 {
		req.Target = fmt.Sprintf("t%d", r.rng.IntN(3))
	}
	r.requests[req.ID] = req
	decisions := r.g.Reserve(r.now, req)
	answers := 0
	for _, d := range decisions {
		if d.ID == req.ID && d.Kind != Preempt {
			answers++
		}
	}
	assert.Equal(r.t, answers, 1, "Reserve gave %d answers", answers)
	r.checkDecisions(decisions)
}

// randomKey returns a random key that depends only on the seed; "" for an empty map.
func randomKey[V any](r *randomRun, m map[string]V) string {
	if len(m) == 0 {
		return ""
	}
	return slices.Sorted(maps.Keys(m))[r.rng.IntN(len(m))]
}

func (r *randomRun) randomGranted() string {
	if len(r.beingPreempted) > 0 {
		return randomKey(r, r.beingPreempted)
	}
	return randomKey(r, r.granted)
}

func (r *randomRun) release() {
	id := r.randomGranted()
	if id == "" {
		return
	}
	report := Report{ID: id, Target: r.granted[id], Version: r.requests[id].Version,
		Outcome: Outcome(1 + r.rng.IntN(6)), PromptTokens: r.requests[id].PromptTokens, OutputTokens: r.requests[id].OutputTokens,
		FirstToken: time.Duration(1+r.rng.IntN(300)) * time.Millisecond,
		Duration:   time.Duration(300+r.rng.IntN(4000)) * time.Millisecond}
	if r.beingPreempted[id] && r.rng.IntN(4) > 0 {
		report.Outcome = OutcomePreempted
	}
	if report.Outcome == OutcomePreempted {
		report.OutputTokens /= 2
		req := r.requests[id]
		req.Target = "" // A preempted request may resume anywhere.
		req.FirstTokenBy = time.Time{}
		r.requests[id] = req
	}
	r.remove(id)
	r.checkDecisions(r.g.Release(r.now, report))
}

func (r *randomRun) remove(id string) {
	delete(r.granted, id)
	delete(r.beingPreempted, id)
	delete(r.resynced, id)
	delete(r.waiting, id)
}

func (r *randomRun) cancel() {
	id := r.randomGranted()
	if r.rng.IntN(2) == 0 {
		id = randomKey(r, r.waiting)
	}
	r.remove(id)
	r.checkDecisions(r.g.Cancel(r.now, id))
}

func (r *randomRun) changeState() {
	name := fmt.Sprintf("t%d", r.rng.IntN(8))
	state := []TargetState{TargetUp, TargetUp, TargetUp, TargetDown, TargetLeaving, TargetEjected}[r.rng.IntN(6)]
	r.checkDecisions(r.g.SetTargetState(r.now, name, state))
}

func (r *randomRun) dropEntry() {
	entry := fmt.Sprintf("e%d", r.rng.IntN(4))
	for id, req := range r.requests {
		if req.Entry == entry {
			r.remove(id)
		}
	}
	r.checkDecisions(r.g.DropEntry(r.now, entry))
}

func (r *randomRun) resync() {
	entry := fmt.Sprintf("e%d", r.rng.IntN(4))
	var grants []HeldGrant
	for _, id := range slices.Sorted(maps.Keys(r.granted)) {
		target := r.granted[id]
		if r.requests[id].Entry == entry {
			grants = append(grants, HeldGrant{Request: r.requests[id], Target: target})
		}
	}
	r.lastID++
	if t := r.g.targets[0]; r.rng.IntN(2) == 0 {
		req := Request{ID: fmt.Sprint(r.lastID), Entry: entry, Version: "v1", Tier: 1, Deadline: r.now.Add(time.Minute)}
		r.requests[req.ID] = req
		r.granted[req.ID] = t.info.Name
		r.resynced[req.ID] = true
		grants = append(grants, HeldGrant{Request: req, Target: t.info.Name})
	}
	r.checkDecisions(r.g.Resync(r.now, entry, grants))
}

func (r *randomRun) checkDecisions(decisions []Decision) {
	r.t.Helper()
	grantedNow := make(map[string]bool)
	for _, d := range decisions {
		switch d.Kind {
		case Grant:
			r.counts["grant"]++
			r.granted[d.ID] = d.Target
			delete(r.waiting, d.ID)
			grantedNow[d.ID] = true
		case Queued:
			r.counts["queued"]++
			r.waiting[d.ID] = true
		case Refuse:
			r.counts[d.Reason.String()]++
			r.remove(d.ID)
		case Preempt:
			r.counts["preempt"]++
			r.beingPreempted[d.ID] = true
		}
	}
	for _, d := range decisions {
		if d.Kind == Grant {
			r.checkGrant(d)
		}
		if d.Kind == Refuse && d.Reason.Shed() {
			r.checkShed(d, grantedNow)
		}
	}
	r.checkState()
}

func (r *randomRun) checkGrant(d Decision) {
	r.t.Helper()
	req := r.requests[d.ID]
	t := r.g.byName[d.Target]
	assert.Assert(r.t, t.state == TargetUp && t.serves(&req), "request %s granted on unsuitable %s", d.ID, d.Target)
	for id := range r.waiting {
		waiting := r.g.jobs[id]
		higher := waiting != nil && waiting.item.Waiting() && waiting.request.Tier < req.Tier && !waiting.request.Suspect
		assert.Assert(r.t, !higher || waiting.item.Class.Possible&t.bit == 0,
			"tier %d granted on %s while tier %d waits for it", req.Tier, d.Target, r.requests[id].Tier)
	}
}

func (r *randomRun) checkShed(d Decision, grantedNow map[string]bool) {
	r.t.Helper()
	req := r.requests[d.ID]
	if r.now.Before(req.Deadline) {
		name := r.targetWithRoom(req, grantedNow)
		assert.Assert(r.t, name == "", "R2: request %+v shed (%s) %s before its deadline while %s runs lower-tier work",
			req, d.Reason, req.Deadline.Sub(r.now), name)
		return
	}
	if r.preemptors[d.ID] {
		// Work was preempted for the request, but not released in time.
		r.counts["expired during preemption"]++
		return
	}
	since, ok := r.preemptableSince[d.ID]
	assert.Assert(r.t, !ok || r.now.Sub(since) <= 2*preemptRetry,
		"R2: request %+v expired although lower-tier work ran since %s before", req, r.now.Sub(since))
}

// targetWithRoom returns the name of a target where preemption of lower-tier work
// would let a request run in time, or "". Work in grantedNow does not count.
func (r *randomRun) targetWithRoom(req Request, grantedNow map[string]bool) string {
	for _, t := range r.g.targets {
		if t.state != TargetUp || !t.serves(&req) || (req.Suspect && t.suspects > 0) {
			continue
		}
		// The target does not help if the request is late there even in the best case.
		if _, best := r.g.latestStartOn(r.now, &job{request: req}, t); best.Before(r.now) {
			continue
		}
		usedKVTokens := t.kvTokens - t.preemptedKVTokens
		victims := 0
		for _, j := range t.running {
			if j.canBePreempted() && j.request.Tier > req.Tier && !grantedNow[j.request.ID] {
				victims++
				usedKVTokens -= j.kvTokens
			}
		}
		if victims > 0 && usedKVTokens+t.kvTokensFor(&req) <= t.info.KVTokens {
			return t.info.Name
		}
	}
	return ""
}

// recordPreemptableSince records since when preemption could have made room for each
// waiting request that is close to its deadline.
func (r *randomRun) recordPreemptableSince() {
	for id := range r.waiting {
		req := r.requests[id]
		if req.Deadline.Sub(r.now) > 2*urgentMargin || r.targetWithRoom(req, nil) == "" {
			delete(r.preemptableSince, id)
		} else if _, ok := r.preemptableSince[id]; !ok {
			r.preemptableSince[id] = r.now
		}
	}
}

func (r *randomRun) checkState() {
	r.t.Helper()
	for _, j := range r.g.preemptors {
		r.preemptors[j.request.ID] = true
	}
	r.recordPreemptableSince()
	assert.Equal(r.t, r.g.queue.Len(), len(r.waiting))
	running := 0
	for name, t := range r.g.byName {
		resynced, suspects, kvTokens, preemptedKVTokens := 0, 0, 0, 0
		for id, j := range t.running {
			running++
			assert.Equal(r.t, r.granted[id], name)
			kvTokens += j.kvTokens
			if j.beingPreempted {
				preemptedKVTokens += j.kvTokens
			}
			if r.resynced[id] {
				resynced++
			} else if j.request.Suspect {
				suspects++
			}
		}
		assert.Equal(r.t, t.kvTokens, kvTokens)
		assert.Equal(r.t, t.preemptedKVTokens, preemptedKVTokens)
		assert.Assert(r.t, suspects <= 1, "%d suspects on %s", suspects, name)
		if resynced == 0 && t.bit != 0 && t.info.KVTokens == r.kvSize(name) {
			assert.Assert(r.t, t.kvTokens <= t.info.KVTokens, "%d KV tokens on %s", t.kvTokens, name)
			assert.Assert(r.t, len(t.running) <= t.info.Slots+1, "%d requests on %s", len(t.running), name)
		}
	}
	assert.Equal(r.t, running, len(r.granted))
	assert.Equal(r.t, len(r.g.jobs), len(r.granted)+len(r.waiting))
}

// kvSize returns the KV cache size that setTargets gives to the target of a name. It
// is the same in all runs.
func (r *randomRun) kvSize(name string) int {
	return 3000 + 1000*(int(name[1]-'0')%3)
}
