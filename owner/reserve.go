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
)

// Reserve asks for a target. The decisions hold exactly one for this request: a
// Grant, Queued or Refuse; others may follow from it. A repeated Reserve of a
// request that runs or waits here repeats its answer.
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
		decisions = append(decisions, Decision{Kind: Queued, ID: j.request.ID, Entry: j.request.Entry})
	}
	return decisions
}

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
		Arrived: now.Add(-request.Waited),
	}
	j.item.Work = g.workOf(&j.request, j.item.Class.Targets)
	j.item.OrderPenalty = orderPenalty(j)
	g.setFirstTokenBound(now, j)
	return j
}

// objectiveMissedPenalty puts requests whose objective has passed behind those that can still
// be in time. It is about the time for which callers wait for a first event.
const objectiveMissedPenalty = 2 * time.Second

// orderPenalty orders the requests of an account. Those with an objective go by arrival:
// each is refused when its objective cannot be met any more, so a long one must not
// wait behind short ones that came later.
func orderPenalty(j *job) time.Duration {
	if j.request.ObjectiveMissed {
		return objectiveMissedPenalty
	}
	if !j.request.ObjectiveBy.IsZero() {
		return 0
	}
	return admission.LengthFactor * j.item.Work
}

// markAccepted marks a request as one that has run: it is followed until its final
// deadline.
func (j *job) markAccepted() {
	j.request.Accepted = true
	j.request.FirstTokenBy = time.Time{}
	if !j.request.FinalDeadline.IsZero() {
		j.request.Deadline = j.request.FinalDeadline
	}
}

// repeatAnswer answers a Reserve that was sent again, because a reply was lost.
func (g *Group) repeatAnswer(j *job) {
	if j.target == nil {
		g.addDecision(Queued, j, Decision{})
		return
	}
	g.addDecision(Grant, j, Decision{Target: j.target.info.Name, CachedTokens: j.cachedTokens})
}

func (g *Group) enqueue(now time.Time, j *job) {
	g.register(j)
	j.item.Class, _ = g.feasibleClass(now, j)
	j.item.Timer = g.nextTimer(now, j)
	g.queue.Add(&j.item)
}

// requeue puts a preempted request back. Its prompt now includes the tokens that
// were generated, because a resumed stream prefills them as well. It keeps its
// time of arrival and is not charged again.
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
	j.item.Work = g.workOf(&j.request, j.item.Class.Targets)
	j.item.OrderPenalty = orderPenalty(j)
	if j.item.Class.Targets&g.upMask() == 0 {
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

// admit decides whether a new request may wait here.
func (g *Group) admit(now time.Time, j *job) (Reason, time.Duration) {
	usable := j.item.Class.Targets & g.upMask()
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
	uncorrected, wait := g.predictWait(j, usable)
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

// maxWaitShare is the part of a request's spare time that it may be predicted to
// wait. The rest absorbs errors of the prediction; without it, an overloaded
// queue would dispatch every request at the last moment, and many end late.
const maxWaitShare = 0.6

// lateness returns by how much the predicted wait exceeds what a request can
// afford on the fastest of its targets.
func (g *Group) lateness(now time.Time, j *job, usable uint64, wait time.Duration) time.Duration {
	spare := g.latestStart(now, j, usable).Sub(now)
	return wait - time.Duration(maxWaitShare*float64(max(spare, 0)))
}

// preemptOrShed decides about a request that would be late or finds the queue full:
// it is admitted when lower-tier work can be preempted for it, else shed.
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

// evictBelow refuses the newest waiting request of the lowest tier, if that is
// lower than tier. When work of a still lower tier runs that can be preempted for
// it, that is done instead, and the queue exceeds its limit by one.
func (g *Group) evictBelow(now time.Time, tier int) bool {
	lowest := g.queue.LowestTier()
	if lowest <= tier {
		return false
	}
	newest := g.queue.Newest(lowest).Value
	if newest.request.Accepted {
		// The queue exceeds its limit by what was accepted, which the slots of the
		// targets bound.
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

// handleTimers refuses what cannot end in time any more and preempts for what is
// about to be late.
func (g *Group) handleTimers(now time.Time) {
	for item := g.queue.Due(now); item != nil; item = g.queue.Due(now) {
		g.handleTimer(now, item.Value)
	}
}

func (g *Group) handleTimer(now time.Time, j *job) {
	class, chance := g.feasibleClass(now, j)
	usable := g.preemptionTargets(j, class)
	victims := chance != certainlyLate && g.hasVictims(j, usable)
	if !now.Before(j.request.Deadline) || (!victims && g.shouldExpire(now, j, chance)) {
		g.observeWait(now, j)
		g.refuse(j, ReasonExpired, g.shedRetryAfter(now, j, g.queueWait(j, usable)))
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

// shouldExpire reports whether starting a request now would probably waste its
// prefill. A request that might still end in time tries it, unless others of its
// tier or a higher one wait and no work was just preempted for it.
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

// nextTimer is the next time to look at a waiting request: when it may preempt,
// when it becomes urgent, when it can no longer end in time on one of the
// targets of its class, or its deadline.
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

// urgentAt is the time from which a waiting request would be late on the fastest
// of its targets, less the time in which a victim is stopped.
func (g *Group) urgentAt(now time.Time, j *job) time.Time {
	return g.latestStart(now, j, j.item.Class.Targets&g.upMask()).Add(-urgentMargin)
}

// rearmTimers makes all waiting requests look for victims again, after a change that
// can bring lower-tier work to targets that they can use.
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
