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
	// grantedTarget is set while the job runs.
	target *target
	// granted is the time of the last grant.
	granted time.Time
	// prefillStart, firstToken and finish are predicted times of the running job.
	prefillStart, firstToken, finish time.Time
	// tokensAhead are tokens that the target prefills before this job.
	tokensAhead int
	// cachedTokens is the expected cached prefix at the time of the grant.
	cachedTokens int
	// batchAtGrant is the number of requests on the target at the time of the grant.
	batchAtGrant int
	// kvTokens is the KV cache that the job takes on its target.
	kvTokens int
	// inBacklog marks a job that was granted while all slots were taken.
	inBacklog bool
	// cacheTarget is the target that holds the prompt of a preempted job in its cache.
	cacheTarget *target
	// preempting is set from the Preempt decision to the release.
	beingPreempted bool
	// lastPreempt is the time at which work was last preempted for this job.
	lastPreempt time.Time
	// predictedWait is the wait that was predicted on arrival, without correction.
	predictedWait time.Duration
	// deferred marks a job that a dispatch round passed over for now.
	deferred bool
	// deferrals counts how often others went before this job because it did not fit.
	deferrals int

	// older and newer link the preemptible jobs of one tier on a target.
	older, newer *job
}

// canBePreempted reports whether a running job can be preempted.
func (j *job) canBePreempted() bool {
	return j.request.Preemptible && !j.request.Plain && !j.beingPreempted
}

// preemptionCost estimates the tokens that are prefilled in vain or again when the job is
// preempted now and resumed where its prompt is cached.
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

// victimList links the preemptible jobs of one tier on a target, newest last.
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
