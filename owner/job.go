package owner

import (
	"time"

	"github.com/marjoramflow/marjoramflow/admission"
	"github.com/marjoramflow/marjoramflow/prefix"
)

// job is one request that waits or runs.
type job struct {
	request Request
	item    admission.Item[*job]
	// target is the target on which the job runs; nil while it waits.
	target *target
	// granted is the time of the last grant.
	granted time.Time
	// prefillStart, firstToken and finish are the times predicted at the grant.
	prefillStart, firstToken, finish time.Time
	// tokensAhead is the number of tokens that the target prefills before this job.
	tokensAhead int
	// cachedTokens is the expected length of the cached prefix at the grant.
	cachedTokens int
	// batchAtGrant is the number of requests on the target right after the grant,
	// this one included.
	batchAtGrant int
	// kvTokens is the part of the target's KV cache that the job takes.
	kvTokens int
	// inBacklog marks a job that was granted while all slots were taken.
	inBacklog bool
	// cacheTarget is the target that has the prompt of a preempted job in its cache;
	// nil if there is none.
	cacheTarget *target
	// beingPreempted is set from the Preempt decision until the release.
	beingPreempted bool
	// lastPreempt is the time at which work was last preempted for this job.
	lastPreempt time.Time
	// predictedWait is the wait that was predicted on arrival, before correction by
	// Group.waitRatios; 0 once it was compared with the actual wait.
	predictedWait time.Duration
	// deferred marks a job that is out of the queue until the end of the dispatch
	// round, because it fits on no free target.
	deferred bool
	// deferrals counts how often the job was deferred since its last grant.
	deferrals int

	// coldDelayed marks a job that waited on arrival only for the limit of a cold target.
	coldDelayed bool

	// older and newer link the preemptible jobs of one tier on a target.
	older, newer *job
}

// canBePreempted reports whether a running job can be preempted. Its result
// changes when beingPreempted is set.
func (j *job) canBePreempted() bool {
	return j.request.Preemptible && !j.request.Plain && !j.beingPreempted
}

// preemptionCost estimates how many prefilled tokens are lost when the job is
// preempted now and resumed on a target that has its prompt cached: before the first
// token, those prefilled so far; afterwards, those that have to be prefilled again.
func (j *job) preemptionCost(now time.Time) int {
	if !now.After(j.prefillStart) {
		return 0
	}
	if now.Before(j.firstToken) {
		doneShare := float64(now.Sub(j.prefillStart)) / float64(j.firstToken.Sub(j.prefillStart))
		return int(doneShare * float64(j.request.PromptTokens-j.cachedTokens))
	}
	uncachedTokens := max(0, j.request.PromptTokens-len(j.request.Prefix)*prefix.BlockTokens)
	decodeTime := max(j.finish.Sub(j.firstToken), 1)
	generatedTokens := float64(now.Sub(j.firstToken)) / float64(decodeTime) * float64(j.request.OutputTokens)
	return uncachedTokens + int(generatedTokens)
}

// victimList is a linked list of the preemptible jobs of one tier on a target, with
// their number and the sum of their KV tokens. It starts at the newest job.
type victimList struct {
	newest   *job
	count    int
	kvTokens int
}

func (l *victimList) add(j *job) {
	j.older = l.newest
	if l.newest != nil {
		l.newest.newer = j
	}
	l.newest = j
	l.count++
	l.kvTokens += j.kvTokens
}

func (l *victimList) remove(j *job) {
	if j.newer != nil {
		j.newer.older = j.older
	} else {
		l.newest = j.older
	}
	if j.older != nil {
		j.older.newer = j.newer
	}
	j.older, j.newer = nil, nil
	l.count--
	l.kvTokens -= j.kvTokens
}
