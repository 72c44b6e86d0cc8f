package owner

import (
	"time"

	"github.com/marjoramflow/marjoramflow/admission"
)

const (
	// urgentMargin is the time before the latest start at which a waiting
	// request preempts: the victim's entry has to stop it and to report.
	urgentMargin = 250 * time.Millisecond
	// preemptRetry is the time after which a request that still waits looks for
	// another victim.
	preemptRetry = 100 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the advice to callers.
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Reserve asks for a target. The decisions hold exactly one for this request: a
// Grant, Queued or Refuse; others may follow from it. A repeated Reserve of a
// request that runs or waits here repeats its answer.
func (g *Group) Reserve(now time.Time, request Request) []Decision {
	if old := g.jobs[request.ID]; old != nil {
		g.repeat(old)
		return g.finish(now)
	}
	g.refreshSpeeds(now)
	j := g.newJob(now, request)
	if reason, retryAfter := g.admit(now, j); reason != ReasonNone {
		g.decide(Refuse, j, Decision{Reason: reason, RetryAfter: retryAfter})
		return g.finish(now)
	}
	g.enqueue(now, j)
	out := g.finish(now)
	if j.item.Waiting() {
		out = append(out, Decision{Kind: Queued, ID: j.request.ID, Entry: j.request.Entry})
	}
	return out
}

func (g *Group) newJob(now time.Time, request Request) *job {
	j := &job{request: request}
	j.request.Tier = clampTier(request.Tier)
	j.item = admission.Item[*job]{
		Value:   j,
		Account: request.Account,
		Tier:    j.request.Tier,
		Class:   g.classOf(&j.request),
		Arrived: now,
	}
	j.item.Work = g.workOf(&j.request, j.item.Class.Targets)
	return j
}

// repeat answers a Reserve that was sent again, because a reply was lost.
func (g *Group) repeat(j *job) {
	if j.target == nil {
		g.decide(Queued, j, Decision{})
		return
	}
	g.decide(Grant, j, Decision{Target: j.target.info.Name, CachedTokens: j.cached})
}

func (g *Group) enqueue(now time.Time, j *job) {
	g.register(j)
	j.item.Timer = g.firstTimer(now, j)
	g.queue.Add(&j.item)
}

// requeue puts a preempted request back. Its prompt now includes the tokens that
// were generated, because a resumed stream prefills them as well. It keeps its
// time of arrival and is not charged again.
func (g *Group) requeue(now time.Time, j *job, report Report) {
	g.leaveTarget(j)
	j.request.PromptTokens += report.OutputTokens
	j.request.OutputTokens = max(j.request.OutputTokens-report.OutputTokens, 1)
	j.request.Target = ""
	j.item.Class = g.classOf(&j.request)
	j.item.Paid = true
	j.item.Work = g.workOf(&j.request, j.item.Class.Targets)
	if j.item.Class.Targets&g.upMask() == 0 {
		g.refuse(j, ReasonNoTarget, 0)
		return
	}
	if !now.Before(j.request.Deadline) {
		g.refuse(j, ReasonDeadline, 0)
		return
	}
	j.item.Timer = g.firstTimer(now, j)
	g.queue.Add(&j.item)
	g.decide(Queued, j, Decision{})
}

// admit decides whether a new request may wait here.
func (g *Group) admit(now time.Time, j *job) (Reason, time.Duration) {
	usable := j.item.Class.Targets & g.upMask()
	if usable == 0 {
		return ReasonNoTarget, 0
	}
	if !g.anyHolds(&j.request, usable) {
		return ReasonTooLarge, 0
	}
	if !now.Before(j.request.Deadline) {
		return ReasonDeadline, 0
	}
	if g.tooLateWhenIdle(now, j, usable) {
		return ReasonDeadline, 0
	}
	wait := g.predictWait(j, usable)
	late := now.Add(wait + j.item.Work).Sub(j.request.Deadline)
	full := g.queue.Len() >= g.options.MaxWaiting && wait > 0
	if (late <= 0 || wait == 0 || !g.settled(j)) && !full {
		return ReasonNone, 0
	}
	if full && g.evictBelow(j.request.Tier) {
		return ReasonNone, 0
	}
	return g.makeRoom(now, j, usable, late)
}

// makeRoom decides about a request that would be late or finds the queue full:
// it is admitted when lower-tier work can be preempted for it, else shed.
func (g *Group) makeRoom(now time.Time, j *job, usable uint64, late time.Duration) (Reason, time.Duration) {
	if !g.hasVictims(j, usable) {
		return ReasonCapacity, max(minRetryAfter, min(late, maxRetryAfter))
	}
	if !j.request.MayPreempt {
		return ReasonPreemptionNeeded, 0
	}
	g.preemptFor(now, j)
	return ReasonNone, 0
}

// evictBelow refuses the newest waiting request of the lowest tier, if that is
// lower than tier.
func (g *Group) evictBelow(tier int) bool {
	lowest := g.queue.LowestTier()
	if lowest <= tier {
		return false
	}
	g.refuse(g.queue.Newest(lowest).Value, ReasonCapacity, maxRetryAfter)
	return true
}

// firstTimer is the time at which a waiting request may preempt: after the
// longest tolerated wait, or shortly before it would be late.
func (g *Group) firstTimer(now time.Time, j *job) time.Time {
	at := now.Add(g.options.PreemptAfter)
	if urgent := g.urgentAt(j); urgent.Before(at) {
		at = urgent
	}
	if j.request.Deadline.Before(at) {
		at = j.request.Deadline
	}
	return at
}

// urgentAt is the time from which a waiting request would be late.
func (g *Group) urgentAt(j *job) time.Time {
	return j.request.Deadline.Add(-j.item.Work*11/10 - urgentMargin)
}

// lastStart is the time from which a waiting request can hardly end in time, so
// that its prefill would be wasted.
func (g *Group) lastStart(j *job) time.Time {
	if !g.settled(j) {
		return j.request.Deadline
	}
	return j.request.Deadline.Add(-j.item.Work * 8 / 10)
}

// handleTimers refuses what cannot end in time any more and preempts for what is
// about to be late.
func (g *Group) handleTimers(now time.Time) {
	for item := g.queue.Due(now); item != nil; item = g.queue.Due(now) {
		g.handleTimer(now, item.Value)
	}
}

func (g *Group) handleTimer(now time.Time, j *job) {
	if !now.Before(j.request.Deadline) {
		g.refuse(j, ReasonExpired, minRetryAfter)
		return
	}
	last := g.lastStart(j)
	usable := j.item.Class.Targets & g.upMask()
	urgent := !now.Before(g.urgentAt(j))
	victims := g.hasVictims(j, usable)
	if victims && g.mayPreemptNow(now, j, urgent) {
		g.preemptFor(now, j)
	} else if !victims && !now.Before(last) {
		g.refuse(j, ReasonExpired, minRetryAfter)
		return
	}
	g.queue.SetTimer(&j.item, g.nextTimer(now, j, usable, last))
}

// nextTimer is the next time to look at a waiting request. While no lower tier
// runs on its targets, that is the time when it becomes urgent and then the time
// when it is too late: no lower tier is dispatched to these targets before it.
func (g *Group) nextTimer(now time.Time, j *job, usable uint64, last time.Time) time.Time {
	if g.lowerRuns(j, usable) || !now.Before(last) {
		return earlier(now.Add(preemptRetry), j.request.Deadline)
	}
	if urgent := g.urgentAt(j); now.Before(urgent) {
		return urgent
	}
	return last
}

// rearm makes all waiting requests look for victims again, after a change that
// can bring lower-tier work to targets that they can use.
func (g *Group) rearm(now time.Time) {
	g.queue.EachClass(func(admission.Class) bool { return true }, func(item *admission.Item[*job]) {
		g.queue.SetTimer(item, earlier(item.Timer, now.Add(preemptRetry)))
	})
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
