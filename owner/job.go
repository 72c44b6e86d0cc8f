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
	// target is set while the job runs.
	target *target
	// granted is the time of the last grant.
	granted time.Time
	// prefillStart, firstToken and finish are predicted times of the running job.
	prefillStart, firstToken, finish time.Time
	// ahead are tokens that the target prefills before this job.
	ahead int
	// cached is the expected cached prefix at the time of the grant.
	cached int
	// batch is the number of requests on the target at the time of the grant.
	batch int
	// kv is the KV cache that the job takes on its target.
	kv int
	// inBacklog marks a job that was granted while all slots were taken.
	inBacklog bool
	// home is the target that holds the prompt of a preempted job in its cache.
	home *target
	// preempting is set from the Preempt decision to the release.
	preempting bool
	// lastPreempt is the time at which work was last preempted for this job.
	lastPreempt time.Time
	// wait is the wait that was predicted on arrival, without correction.
	wait time.Duration
	// aside marks a job that a dispatch round passed over for now.
	aside bool
	// passed counts how often others went before this job because it did not fit.
	passed int

	// older and newer link the preemptible jobs of one tier on a target.
	older, newer *job
}

// victim reports whether a running job can be preempted.
func (j *job) victim() bool {
	return j.request.Preemptible && !j.request.Plain && !j.preempting
}

// loss estimates the tokens that are prefilled in vain or again when the job is
// preempted now and resumed where its prompt is cached.
func (j *job) loss(now time.Time) int {
	if !now.After(j.prefillStart) {
		return 0
	}
	if now.Before(j.firstToken) {
		done := float64(now.Sub(j.prefillStart)) / float64(j.firstToken.Sub(j.prefillStart))
		return int(done * float64(j.request.PromptTokens-j.cached))
	}
	uncached := max(0, j.request.PromptTokens-len(j.request.Prefix)*prefix.BlockTokens)
	decode := max(j.finish.Sub(j.firstToken), 1)
	generated := float64(now.Sub(j.firstToken)) / float64(decode) * float64(j.request.OutputTokens)
	return uncached + int(generated)
}

// victimList links the preemptible jobs of one tier on a target, newest last.
type victimList struct {
	newest *job
	count  int
	kv     int
}

func (l *victimList) add(j *job) {
	j.older = l.newest
	if l.newest != nil {
		l.newest.newer = j
	}
	l.newest = j
	l.count++
	l.kv += j.kv
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
	l.kv -= j.kv
}
