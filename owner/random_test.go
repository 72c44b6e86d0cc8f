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

// run drives a group with random calls and checks the rules after each of them.
type run struct {
	t        *testing.T
	g        *Group
	rng      *rand.Rand
	now      time.Time
	requests map[string]Request
	// granted are the requests that hold a grant, by ID.
	granted map[string]string
	waiting map[string]bool
	stopped map[string]bool
	heldAt  map[string]bool
	// rescued are requests for which lower-tier work was asked to stop.
	rescued map[string]bool
	chance  map[string]time.Time
	next    int
	counts  map[string]int
}

// Guards, over random sequences of calls, against a higher tier that is shed
// while lower-tier work could make room (R2), lower-tier work that is dispatched
// before a higher tier, too many requests or KV tokens on a target, suspects
// that share a target, grants on unsuitable targets, and lost requests.
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

func newRun(t *testing.T, seed uint64, counts map[string]int) *run {
	r := &run{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), now: start, counts: counts,
		requests: make(map[string]Request), granted: make(map[string]string),
		waiting: make(map[string]bool), stopped: make(map[string]bool), heldAt: make(map[string]bool),
		rescued: make(map[string]bool), chance: make(map[string]time.Time),
	}
	r.g = NewGroup("s", 0, Options{MaxWaiting: 20 + r.rng.IntN(200)})
	r.setTargets()
	return r
}

func (r *run) setTargets() {
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
	r.check(r.g.SetTargets(r.now, infos))
}

func (r *run) step() {
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
		r.entryGone()
	case n < 85:
		r.resync()
	default:
		r.check(r.g.Tick(r.now))
	}
}

func (r *run) reserve() {
	r.next++
	q := Request{
		ID: fmt.Sprint(r.next), Entry: fmt.Sprintf("e%d", r.rng.IntN(4)), Service: "s",
		Version: []string{"v1", "v1", "v1", "v2"}[r.rng.IntN(4)], Account: fmt.Sprintf("a%d", r.rng.IntN(5)),
		Tier: r.rng.IntN(3), PromptTokens: 1 + r.rng.IntN(1500), OutputTokens: 1 + r.rng.IntN(300),
		Deadline:    r.now.Add(time.Duration(200+r.rng.IntN(20000)) * time.Millisecond),
		Preemptible: r.rng.IntN(4) > 0, MayPreempt: r.rng.IntN(2) > 0,
		Suspect: r.rng.IntN(15) == 0, Plain: r.rng.IntN(15) == 0,
	}
	if r.rng.IntN(10) == 0 {
		q.Exclude = []string{fmt.Sprintf("t%d", r.rng.IntN(3))}
	}
	if r.rng.IntN(2) == 0 {
		q.FirstTokenBy = r.now.Add(time.Duration(100+r.rng.IntN(3000)) * time.Millisecond)
	}
	if r.rng.IntN(20) == 0 {
		q.Target = fmt.Sprintf("t%d", r.rng.IntN(3))
	}
	r.requests[q.ID] = q
	decisions := r.g.Reserve(r.now, q)
	answers := 0
	for _, d := range decisions {
		if d.ID == q.ID && d.Kind != Preempt {
			answers++
		}
	}
	assert.Equal(r.t, answers, 1, "Reserve gave %d answers", answers)
	r.check(decisions)
}

// anyOf returns a random key, the same for the same seed; "" when there is none.
func anyOf[V any](r *run, m map[string]V) string {
	if len(m) == 0 {
		return ""
	}
	return slices.Sorted(maps.Keys(m))[r.rng.IntN(len(m))]
}

func (r *run) anyGranted() string {
	if len(r.stopped) > 0 {
		return anyOf(r, r.stopped)
	}
	return anyOf(r, r.granted)
}

func (r *run) release() {
	id := r.anyGranted()
	if id == "" {
		return
	}
	report := Report{ID: id, Target: r.granted[id], Version: r.requests[id].Version,
		Outcome: Outcome(1 + r.rng.IntN(6)), PromptTokens: r.requests[id].PromptTokens, OutputTokens: r.requests[id].OutputTokens,
		FirstToken: time.Duration(1+r.rng.IntN(300)) * time.Millisecond,
		Duration:   time.Duration(300+r.rng.IntN(4000)) * time.Millisecond}
	if r.stopped[id] && r.rng.IntN(4) > 0 {
		report.Outcome = OutcomePreempted
	}
	if report.Outcome == OutcomePreempted {
		report.OutputTokens /= 2
		q := r.requests[id]
		q.Target = "" // A preempted request may resume anywhere.
		q.FirstTokenBy = time.Time{}
		r.requests[id] = q
	}
	r.forget(id)
	r.check(r.g.Release(r.now, report))
}

func (r *run) forget(id string) {
	delete(r.granted, id)
	delete(r.stopped, id)
	delete(r.heldAt, id)
	delete(r.waiting, id)
}

func (r *run) cancel() {
	id := r.anyGranted()
	if r.rng.IntN(2) == 0 {
		id = anyOf(r, r.waiting)
	}
	r.forget(id)
	r.check(r.g.Cancel(r.now, id))
}

func (r *run) changeState() {
	name := fmt.Sprintf("t%d", r.rng.IntN(8))
	state := []TargetState{TargetUp, TargetUp, TargetUp, TargetDown, TargetLeaving, TargetEjected}[r.rng.IntN(6)]
	r.check(r.g.SetTargetState(r.now, name, state))
}

func (r *run) entryGone() {
	entry := fmt.Sprintf("e%d", r.rng.IntN(4))
	for id, q := range r.requests {
		if q.Entry == entry {
			r.forget(id)
		}
	}
	r.check(r.g.EntryGone(r.now, entry))
}

func (r *run) resync() {
	entry := fmt.Sprintf("e%d", r.rng.IntN(4))
	var held []HeldGrant
	for _, id := range slices.Sorted(maps.Keys(r.granted)) {
		target := r.granted[id]
		if r.requests[id].Entry == entry {
			held = append(held, HeldGrant{Request: r.requests[id], Target: target})
		}
	}
	r.next++
	if t := r.g.targets[0]; r.rng.IntN(2) == 0 {
		q := Request{ID: fmt.Sprint(r.next), Entry: entry, Version: "v1", Tier: 1, Deadline: r.now.Add(time.Minute)}
		r.requests[q.ID] = q
		r.granted[q.ID] = t.info.Name
		r.heldAt[q.ID] = true
		held = append(held, HeldGrant{Request: q, Target: t.info.Name})
	}
	r.check(r.g.Resync(r.now, entry, held))
}

func (r *run) check(decisions []Decision) {
	r.t.Helper()
	fresh := make(map[string]bool)
	for _, d := range decisions {
		switch d.Kind {
		case Grant:
			r.counts["grant"]++
			r.granted[d.ID] = d.Target
			delete(r.waiting, d.ID)
			fresh[d.ID] = true
		case Queued:
			r.counts["queued"]++
			r.waiting[d.ID] = true
		case Refuse:
			r.counts[d.Reason.String()]++
			r.forget(d.ID)
		case Preempt:
			r.counts["preempt"]++
			r.stopped[d.ID] = true
		}
	}
	for _, d := range decisions {
		if d.Kind == Grant {
			r.checkGrant(d)
		}
		if d.Kind == Refuse && d.Reason.Shed() {
			r.checkShed(d, fresh)
		}
	}
	r.checkState()
}

func (r *run) checkGrant(d Decision) {
	r.t.Helper()
	q := r.requests[d.ID]
	t := r.g.byName[d.Target]
	assert.Assert(r.t, t.state == TargetUp && t.serves(&q), "request %s granted on unsuitable %s", d.ID, d.Target)
	for id := range r.waiting {
		w := r.g.jobs[id]
		higher := w != nil && w.item.Waiting() && w.request.Tier < q.Tier && !w.request.Suspect
		assert.Assert(r.t, !higher || w.item.Class.Possible&t.bit == 0,
			"tier %d granted on %s while tier %d waits for it", q.Tier, d.Target, r.requests[id].Tier)
	}
}

func (r *run) checkShed(d Decision, fresh map[string]bool) {
	r.t.Helper()
	q := r.requests[d.ID]
	if r.now.Before(q.Deadline) {
		name := r.roomFor(q, fresh)
		assert.Assert(r.t, name == "", "R2: request %+v shed (%s) %s before its deadline while %s runs lower-tier work",
			q, d.Reason, q.Deadline.Sub(r.now), name)
		return
	}
	if r.rescued[d.ID] {
		// Room was being made, but the entry of the victim was too slow.
		r.counts["expired during preemption"]++
		return
	}
	since, ok := r.chance[d.ID]
	assert.Assert(r.t, !ok || r.now.Sub(since) <= 2*preemptRetry,
		"R2: request %+v expired although lower-tier work ran since %s before", q, r.now.Sub(since))
}

// roomFor returns a target where stopping lower-tier work would let a request
// run in time, or "".
func (r *run) roomFor(q Request, fresh map[string]bool) string {
	for _, t := range r.g.targets {
		if t.state != TargetUp || !t.serves(&q) || (q.Suspect && t.suspects > 0) {
			continue
		}
		// Room on a target where the request ends late even at best is no help.
		if _, best := r.g.startsBy(r.now, &job{request: q}, t); best.Before(r.now) {
			continue
		}
		room := t.kv - t.stoppingKV
		victims := 0
		for _, j := range t.running {
			if j.victim() && j.request.Tier > q.Tier && !fresh[j.request.ID] {
				victims++
				room -= j.kv
			}
		}
		if victims > 0 && room+t.need(&q) <= t.info.KVTokens {
			return t.info.Name
		}
	}
	return ""
}

// noteChances records since when each waiting request that is close to its
// deadline could have been helped by preemption.
func (r *run) noteChances() {
	for id := range r.waiting {
		q := r.requests[id]
		if q.Deadline.Sub(r.now) > 2*urgentMargin || r.roomFor(q, nil) == "" {
			delete(r.chance, id)
		} else if _, ok := r.chance[id]; !ok {
			r.chance[id] = r.now
		}
	}
}

func (r *run) checkState() {
	r.t.Helper()
	for _, j := range r.g.rescued {
		r.rescued[j.request.ID] = true
	}
	r.noteChances()
	assert.Equal(r.t, r.g.queue.Len(), len(r.waiting))
	running := 0
	for name, t := range r.g.byName {
		held, suspects, kv, stopping := 0, 0, 0, 0
		for id, j := range t.running {
			running++
			assert.Equal(r.t, r.granted[id], name)
			kv += j.kv
			if j.preempting {
				stopping += j.kv
			}
			if r.heldAt[id] {
				held++
			} else if j.request.Suspect {
				suspects++
			}
		}
		assert.Equal(r.t, t.kv, kv)
		assert.Equal(r.t, t.stoppingKV, stopping)
		assert.Assert(r.t, suspects <= 1, "%d suspects on %s", suspects, name)
		if held == 0 && t.bit != 0 && t.info.KVTokens == r.slotsKV(name) {
			assert.Assert(r.t, t.kv <= t.info.KVTokens, "%d KV tokens on %s", t.kv, name)
			assert.Assert(r.t, len(t.running) <= t.info.Slots+1, "%d requests on %s", len(t.running), name)
		}
	}
	assert.Equal(r.t, running, len(r.granted))
	assert.Equal(r.t, len(r.g.jobs), len(r.granted)+len(r.waiting))
}

// slotsKV is the cache size of a target by its name; sizes never change.
func (r *run) slotsKV(name string) int {
	return 3000 + 1000*(int(name[1]-'0')%3)
}
