package owner

import (
	"time"

	"github.com/marjoramflow/marjoramflow/admission"
)

const (
	// urgentMargin is how long before its latest start a waiting request preempts
	// work. In this time the entry of the victim has to stop it and to report.
	urgentMargin = 250 * time.Millisecond
	// preemptRetry is the interval at which a waiting request checks again whether
	// work can be preempted for it.
	preemptRetry = 100 * time.Millisecond
)

// Reserve asks for a target for a request. The decisions contain exactly one Grant,
// Queued or Refuse for this request; further decisions may follow from it. A repeated
// Reserve of a request that runs or waits here repeats the answer.
func (g *Group) Reserve(now time.Time, request Request) []Decision {
	if known := g.jobs[request.ID]; known != nil {
		g.repeatAnswer(known)
		return g.schedule(now)
	}
	g.refreshSpeeds(now)
	j := g.newJob(now, request)
	if request.Immediate && !g.hasImmediateTarget(now, j) {
		g.addDecision(Refuse, j, Decision{Reason: ReasonBusy})
		return g.schedule(now)
	}
	if reason, retryAfter := g.admit(now, j); reason != ReasonNone {
		g.addDecision(Refuse, j, Decision{Reason: reason, RetryAfter: retryAfter})
		return g.schedule(now)
	}
	g.enqueue(now, j)
	decisions := g.schedule(now)
	if j.item.Waiting() {
		j.coldDelayed = g.waitsForCold(now, j)
		decisions = append(decisions, Decision{Kind: Queued, ID: j.request.ID, Entry: j.request.Entry})
	}
	return decisions
}

// newJob returns a job for a request; it is not registered yet.
func (g *Group) newJob(now time.Time, request Request) *job {
	j := &job{request: request}
	j.request.Tier = clampTier(request.Tier)
	if request.Accepted {
		j.markAccepted()
	}
	j.item = admission.Item[*job]{
		Value:   j,
		Account: request.Account,
		Tier:    j.request.Tier,
		Class:   g.permittedClass(&j.request),
		Arrived: now.Add(-request.WaitedElsewhere),
	}
	j.item.Work = g.workOf(&j.request, j.item.Class.Suitable)
	j.item.OrderPenalty = orderPenalty(j)
	g.setFirstTokenBound(now, j)
	return j
}

// orderPenalty returns the time by which a job is moved back among the requests of
// its account. Requests with an objective are ordered by arrival: each is refused
// when its objective cannot be met any more, so a long one must not wait behind short
// ones that arrived later. Other requests are moved back by their work.
func orderPenalty(j *job) time.Duration {
	if !j.request.ObjectiveBy.IsZero() {
		return 0
	}
	return admission.LengthFactor * j.item.Work
}

// markAccepted marks a request as one that has run before: it is no longer bound by
// FirstTokenBy, and its deadline becomes the final one.
func (j *job) markAccepted() {
	j.request.Accepted = true
	j.request.FirstTokenBy = time.Time{}
	if !j.request.FinalDeadline.IsZero() {
		j.request.Deadline = j.request.FinalDeadline
	}
}

// repeatAnswer answers a Reserve that the entry sent again because a reply was lost.
func (g *Group) repeatAnswer(j *job) {
	if j.target == nil {
		g.addDecision(Queued, j, Decision{})
		return
	}
	g.addDecision(Grant, j, Decision{Target: j.target.info.Name, CachedTokens: j.cachedTokens})
}

// enqueue registers a new job and adds it to the queue.
func (g *Group) enqueue(now time.Time, j *job) {
	g.register(j)
	j.item.Class, _ = g.feasibleClass(now, j)
	j.item.Timer = g.nextTimer(now, j)
	g.queue.Add(&j.item)
}

// requeue puts a preempted request back into the queue, or refuses it when no target
// can run it any more or its deadline has passed. Its prompt now includes the tokens
// that were generated, because a resumed stream prefills them as well. It keeps its
// time of arrival, and its account is not charged again.
func (g *Group) requeue(now time.Time, j *job, report Report) {
	j.cacheTarget = nil
	if report.OutputTokens > 0 {
		j.cacheTarget = j.target
	}
	g.leaveTarget(j)
	j.request.PromptTokens += report.OutputTokens
	j.request.OutputTokens = max(j.request.OutputTokens-report.OutputTokens, 1)
	j.request.Target = ""
	j.markAccepted()
	j.item.Class, _ = g.feasibleClass(now, j)
	j.item.Charged = true
	j.item.Work = g.workOf(&j.request, j.item.Class.Suitable)
	j.item.OrderPenalty = orderPenalty(j)
	if j.item.Class.Suitable&g.upMask() == 0 {
		g.refuse(j, ReasonNoTarget, 0)
		return
	}
	if !now.Before(j.request.Deadline) {
		g.refuse(j, ReasonDeadline, 0)
		return
	}
	j.item.Timer = g.nextTimer(now, j)
	g.queue.Add(&j.item)
	g.addDecision(Queued, j, Decision{})
}

// admit decides whether a new request may wait here. It returns ReasonNone if so,
// otherwise the reason of the refusal and the retry-after time for shed requests.
func (g *Group) admit(now time.Time, j *job) (Reason, time.Duration) {
	usable := j.item.Class.Suitable & g.upMask()
	if usable == 0 {
		return ReasonNoTarget, 0
	}
	if !g.promptFits(&j.request, usable) {
		return ReasonTooLarge, 0
	}
	if !now.Before(j.request.Deadline) {
		return ReasonDeadline, 0
	}
	if j.request.Accepted {
		return ReasonNone, 0
	}
	if g.tooLateWhenIdle(now, j, usable) {
		return ReasonDeadline, 0
	}
	if wait, late := g.lateAtGrantRate(now, j, usable); late {
		return ReasonCapacity, g.shedRetryAfter(now, j, wait)
	}
	uncorrected, wait := g.predictWait(now, j, usable)
	j.predictedWait = uncorrected
	late := g.lateness(now, j, usable, wait)
	full := g.queue.Len() >= g.options.MaxWaiting && wait > 0
	if (late <= 0 || wait == 0 || !g.confident(j)) && !full {
		return ReasonNone, 0
	}
	if full && g.evictBelow(now, j.request.Tier) {
		return ReasonNone, 0
	}
	return g.preemptOrShed(now, j, usable, late)
}

// maxWaitShare is the largest share of the time until its latest start that a request
// may be predicted to wait. The rest absorbs prediction errors; without it, an
// overloaded group would dispatch every request at the last moment, and many would
// end late.
const maxWaitShare = 0.6

// lateness returns by how much the predicted wait exceeds the longest wait that is
// admitted, see maxWaitShare, on the fastest usable target. It is negative when the
// wait is shorter than that.
func (g *Group) lateness(now time.Time, j *job, usable uint64, wait time.Duration) time.Duration {
	spare := g.latestStart(now, j, usable).Sub(now)
	return wait - time.Duration(maxWaitShare*float64(max(spare, 0)))
}

// preemptOrShed decides about a request that would be late or that finds the queue
// full. When lower-tier work can be preempted for it, the request is admitted, or
// refused with ReasonPreemptionNeeded if it does not permit that; otherwise it is
// shed.
func (g *Group) preemptOrShed(now time.Time, j *job, usable uint64, late time.Duration) (Reason, time.Duration) {
	if !g.hasVictims(j, usable) {
		return ReasonCapacity, g.shedRetryAfter(now, j, late)
	}
	if !j.request.MayPreempt {
		return ReasonPreemptionNeeded, 0
	}
	g.preemptFor(now, j, usable)
	return ReasonNone, 0
}

// evictBelow refuses the newest waiting request of the lowest tier, and returns
// false if no waiting request has a lower tier than tier. When work of a still lower
// tier can be preempted for the newest request, that is done instead, and the queue
// exceeds its limit by one.
func (g *Group) evictBelow(now time.Time, tier int) bool {
	lowest := g.queue.LowestTier()
	if lowest <= tier {
		return false
	}
	newest := g.queue.Newest(lowest).Value
	if newest.request.Accepted {
		// Accepted requests are not evicted, so the queue exceeds its limit by their
		// number, which is bounded by the slots of the targets.
		return true
	}
	usable := newest.item.Class.Possible & g.upMask()
	if g.hasVictims(newest, usable) {
		g.preemptFor(now, newest, usable)
		return true
	}
	g.refuse(newest, ReasonCapacity, maxRetryAfter)
	return true
}

// handleTimers handles the waiting requests whose timer has expired: it refuses those
// that cannot end in time any more and preempts work for those about to be late.
func (g *Group) handleTimers(now time.Time) {
	for item := g.queue.Due(now); item != nil; item = g.queue.Due(now) {
		g.handleTimer(now, item.Value)
	}
}

// handleTimer refuses a waiting request, or updates its class, preempts work for it
// if that is due, and sets its next timer.
func (g *Group) handleTimer(now time.Time, j *job) {
	class, chance := g.feasibleClass(now, j)
	usable := g.preemptionTargets(j, class)
	victims := chance != certainlyLate && g.hasVictims(j, usable)
	if !now.Before(j.request.Deadline) || (!victims && g.shouldExpire(now, j, chance)) {
		g.observeWait(now, j)
		g.refuse(j, ReasonExpired, g.shedRetryAfter(now, j, g.queueWait(now, j, usable)))
		return
	}
	g.queue.SetClass(&j.item, class)
	urgent := !now.Before(g.urgentAt(now, j))
	withinPreemptAfter := now.Sub(j.item.Arrived) < g.options.PreemptAfter
	if victims && (urgent || !withinPreemptAfter) && g.mayPreemptNow(now, j, urgent) {
		g.preemptFor(now, j, usable)
	}
	g.queue.SetTimer(&j.item, g.nextTimer(now, j))
}

// shouldExpire reports whether a request is to be refused because starting it now
// would probably waste its prefill. One that may still end in time is kept if it is
// the only waiting request of its tier and the higher ones, or if work was just
// preempted for it. An accepted request is always kept.
func (g *Group) shouldExpire(now time.Time, j *job, c onTimeChance) bool {
	if j.request.Accepted {
		return false
	}
	if c != possiblyOnTime {
		return c == certainlyLate
	}
	preemptionPending := now.Sub(j.lastPreempt) < victimTimeout
	return !preemptionPending && g.queue.CountUpTo(j.request.Tier) > 1
}

// nextTimer returns the next time at which handleTimer has to check a waiting
// request: when it may preempt or preempt again, when it becomes urgent, when it can
// no longer end in time on one of the targets of its class, or its deadline.
func (g *Group) nextTimer(now time.Time, j *job) time.Time {
	next := j.request.Deadline
	consider := func(at time.Time) {
		if at.After(now) && at.Before(next) {
			next = at
		}
	}
	if preemptAt := j.item.Arrived.Add(g.options.PreemptAfter); preemptAt.After(now) {
		consider(preemptAt)
	} else if g.lowerTierRuns(j, j.item.Class.Possible&g.upMask()) {
		consider(now.Add(preemptRetry))
	}
	urgent := g.urgentAt(now, j)
	consider(urgent)
	if victimDeadline := j.lastPreempt.Add(victimTimeout); !j.lastPreempt.IsZero() {
		consider(victimDeadline)
	}
	if !urgent.After(now) && g.lowerTierRuns(j, j.item.Class.Possible&g.upMask()) {
		consider(now.Add(preemptRetry))
	}
	for _, t := range g.targets {
		if t.bit&j.item.Class.Possible != 0 {
			safe, best := g.latestStartOn(now, j, t)
			consider(safe.Add(time.Nanosecond))
			consider(best.Add(time.Nanosecond))
		}
	}
	return next
}

// urgentAt returns the time from which a waiting request is urgent: its latest start
// on the fastest of its targets, less the time in which a victim is stopped.
func (g *Group) urgentAt(now time.Time, j *job) time.Time {
	return g.latestStart(now, j, j.item.Class.Suitable&g.upMask()).Add(-urgentMargin)
}

// rearmTimers has all waiting requests checked again within preemptRetry, after a
// change that can bring lower-tier work to targets that they can use.
func (g *Group) rearmTimers(now time.Time) {
	g.queue.ForEachMatching(func(admission.Class) bool { return true }, func(item *admission.Item[*job]) {
		g.queue.SetTimer(item, earlier(item.Timer, now.Add(preemptRetry)))
	})
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
