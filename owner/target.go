package owner

import (
	"slices"
	"time"

	"github.com/marjoramflow/marjoramflow/prefix"
)

// target is one target of the group with its requests in flight.
type target struct {
	info  TargetInfo
	state TargetState
	// bit is the target's bit in target masks such as those of admission.Class; 0
	// for a target that is no longer configured.
	bit uint64
	// running holds the requests in flight by ID.
	running map[string]*job
	// victims are the preemptible requests in flight by tier.
	victims [MaxTier + 1]victimList
	// kvTokens is the KV cache that all requests in flight need together.
	kvTokens int
	// preemptedKVTokens is the part of kvTokens that belongs to requests that were
	// asked to stop and still run.
	preemptedKVTokens int
	// suspects counts the suspects in flight.
	suspects int
	// prefillEnd is the predicted time at which all prefill granted so far ends.
	prefillEnd time.Time
	// needsReplan is set when a request has ended here, so that prefillEnd has to be
	// predicted again.
	needsReplan bool
	// reported is the number of running requests that the target reported last.
	reported int
	// speed is the speed at the reference request relative to the first target of the
	// group, see refreshSpeeds.
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

// serves reports whether the configuration and the request permit this target.
func (t *target) serves(r *Request) bool {
	if r.Target != "" && r.Target != t.info.Name {
		return false
	}
	if r.Version != "" && len(t.info.Versions) > 0 && !slices.Contains(t.info.Versions, r.Version) {
		return false
	}
	return r.Regions.Allows(t.info.Region) && !slices.Contains(r.Exclude, t.info.Name)
}

// hasCapacity reports whether the target may get one more request when it may hold
// backlog requests beyond its slots.
func (t *target) hasCapacity(backlog int) bool {
	return t.state == TargetUp && len(t.running) < t.info.Slots+backlog
}

// fits reports whether the KV cache has room for a number of tokens. A request of
// any size fits on an empty target, because kvTokensFor returns at most the size of
// the cache.
func (t *target) fits(tokens int) bool {
	return t.info.KVTokens == 0 || t.kvTokens+tokens <= t.info.KVTokens
}

// kvTokensFor returns the tokens that a request takes in the KV cache of the target,
// at most the whole cache.
func (t *target) kvTokensFor(r *Request) int {
	tokens := r.PromptTokens + r.OutputTokens
	if t.info.KVTokens > 0 {
		return min(tokens, t.info.KVTokens)
	}
	return tokens
}

// add puts a job on the target; j.kvTokens must be set.
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

// remove takes a job off the target and ends its preemption, if it has one.
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

// startPreempting takes a job out of the victims and marks it as being preempted.
// It keeps its slot and KV tokens until it is released.
func (t *target) startPreempting(j *job) {
	t.victims[j.request.Tier].remove(j)
	t.preemptedKVTokens += j.kvTokens
	j.beingPreempted = true
}
