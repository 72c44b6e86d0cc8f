package owner

import (
	"slices"
	"time"

	"github.com/marjoramflow/marjoramflow/prefix"
)

// grantedTarget is one target of the group with its requests in flight.
type target struct {
	info  TargetInfo
	state TargetState
	// bit is the target's place in class masks.
	bit uint64
	// running holds the requests in flight by ID.
	running map[string]*job
	// victims are the preemptible requests in flight by tier.
	victims [MaxTier + 1]victimList
	// kvTokens is the KV cache that the requests in flight need together.
	kvTokens int
	// preemptedKVTokens is the part of kv that belongs to preempted requests.
	preemptedKVTokens int
	suspects          int
	// prefillEnd is the predicted time at which all prefill granted so far ends.
	prefillEnd time.Time
	// left is set when a request has ended here and the plan is to be renewed.
	needsReplan bool
	// reported is the load that the target told last.
	reported int
	// speed is the decode speed relative to the reference target of the group.
	speed       float64
	prefixIndex *prefix.Index
}

func newTarget(info TargetInfo, bit uint64, prefixBlocks int) *target {
	return &target{
		info:        info,
		bit:         bit,
		running:     make(map[string]*job),
		speed:       1,
		prefixIndex: prefix.NewIndex(prefixBlocks),
	}
}

// serves reports whether the configuration permits the request here.
func (t *target) serves(r *Request) bool {
	if r.Target != "" && r.Target != t.info.Name {
		return false
	}
	if r.Version != "" && len(t.info.Versions) > 0 && !slices.Contains(t.info.Versions, r.Version) {
		return false
	}
	return !slices.Contains(r.Exclude, t.info.Name)
}

// hasCapacity reports whether the target may get one more request.
func (t *target) hasCapacity(backlog int) bool {
	return t.state == TargetUp && len(t.running) < t.info.Slots+backlog
}

// fits reports whether the KV cache has room. An empty target takes a request of
// any size, which is limited to the whole cache by need.
func (t *target) fits(tokens int) bool {
	return t.info.KVTokens == 0 || t.kvTokens+tokens <= t.info.KVTokens
}

// need returns the KV cache that a request takes here.
func (t *target) kvTokensFor(r *Request) int {
	tokens := r.PromptTokens + r.OutputTokens
	if t.info.KVTokens > 0 {
		return min(tokens, t.info.KVTokens)
	}
	return tokens
}

func (t *target) add(j *job) {
	j.target = t
	t.running[j.request.ID] = j
	t.kvTokens += j.kvTokens
	if j.request.Suspect {
		t.suspects++
	}
	if j.canBePreempted() {
		t.victims[j.request.Tier].add(j)
	}
}

func (t *target) remove(j *job) {
	delete(t.running, j.request.ID)
	if j.canBePreempted() {
		t.victims[j.request.Tier].remove(j)
	}
	t.kvTokens -= j.kvTokens
	if j.beingPreempted {
		t.preemptedKVTokens -= j.kvTokens
	}
	if j.request.Suspect {
		t.suspects--
	}
	j.target = nil
	j.beingPreempted = false
}

// startPreempting takes a job out of the victims; it keeps its slot until it is
// released.
func (t *target) startPreempting(j *job) {
	t.victims[j.request.Tier].remove(j)
	t.preemptedKVTokens += j.kvTokens
	j.beingPreempted = true
}
