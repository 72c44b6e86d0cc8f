package owner

import (
	"time"

	"github.com/marjoramflow/marjoramflow/admission"
	"github.com/marjoramflow/marjoramflow/estimate"
)

const (
	// speedInterval is the time between updates of the targets' relative speeds.
	speedInterval = time.Second
	// meanWorkWindow is the number of requests over which the mean work is averaged:
	// each request has a weight of 1/meanWorkWindow.
	meanWorkWindow = 32
	// speedPromptTokens and speedOutputTokens are the lengths of the reference
	// request by which the speeds of targets are compared.
	speedPromptTokens = 512
	speedOutputTokens = 128
)

// refreshSpeeds updates the speed of each target relative to the first one, at most
// once per speedInterval.
func (g *Group) refreshSpeeds(now time.Time) {
	if now.Before(g.nextSpeedUpdate) || len(g.targets) == 0 {
		return
	}
	g.nextSpeedUpdate = now.Add(speedInterval)
	reference := g.referenceRequestTime(g.targets[0])
	for _, t := range g.targets {
		t.speed = float64(reference) / float64(max(g.referenceRequestTime(t), 1))
	}
}

// referenceRequestTime returns the predicted time of the reference request on a
// target with a full batch.
func (g *Group) referenceRequestTime(t *target) time.Duration {
	version := ""
	if len(t.info.Versions) > 0 {
		version = t.info.Versions[0]
	}
	return g.options.Model.Predict(estimate.Job{
		Version:       version,
		Hardware:      t.info.Hardware,
		PrefillTokens: speedPromptTokens,
		OutputTokens:  speedOutputTokens,
		Batch:         max(t.info.Slots, 1),
	}).Finish
}

// workOf returns the predicted work of a request: its time in a slot of the first
// target of the group, with a full batch and nothing cached. It is the time on the
// first target in mask times the relative speed of that target; 0 with an empty mask.
func (g *Group) workOf(r *Request, mask uint64) time.Duration {
	for _, t := range g.targets {
		if t.bit&mask == 0 {
			continue
		}
		p := g.predictFullBatch(r, t)
		return time.Duration(float64(p.Finish) * t.speed)
	}
	return 0
}

// predictFullBatch returns the expected course of a request on a target with a full
// batch and nothing cached.
func (g *Group) predictFullBatch(r *Request, t *target) estimate.Prediction {
	return g.options.Model.Predict(estimate.Job{
		Version:       r.Version,
		Hardware:      t.info.Hardware,
		PrefillTokens: r.PromptTokens,
		OutputTokens:  r.OutputTokens,
		Batch:         max(t.info.Slots, 1),
		Plain:         r.Plain,
	})
}

// bestCaseFactor times a predicted time is the best case: requests are hardly ever
// faster than that.
const bestCaseFactor = 0.8

// timeNeededOn returns the time that a request needs on a target with a full batch.
// Nearly all requests end within safe, hardly any before best. Both are zero while
// the estimates are not confident.
func (g *Group) timeNeededOn(j *job, t *target) (safe, best time.Duration) {
	p := g.predictFullBatch(&j.request, t)
	if !p.Confident {
		return 0, 0
	}
	return time.Duration(float64(p.Finish) * p.Spread), time.Duration(float64(p.Finish) * bestCaseFactor)
}

// latestStartOn returns the latest times at which a request may start on a target
// with a full batch: until safe it ends in time almost certainly, and after best it
// is late even in the best case. Both Deadline and FirstTokenBy count. Prefill in
// progress for other requests is not counted, since these may be preempted.
func (g *Group) latestStartOn(now time.Time, j *job, t *target) (safe, best time.Time) {
	safeTime, bestTime := g.timeNeededOn(j, t)
	safe, best = j.request.Deadline.Add(-safeTime), j.request.Deadline.Add(-bestTime)
	firstTokenBy := j.request.FirstTokenBy
	if firstTokenBy.IsZero() {
		return safe, best
	}
	p := g.options.Model.Predict(g.prefillOn(now, &j.request, t))
	if !p.Confident {
		return earlier(safe, firstTokenBy), earlier(best, firstTokenBy)
	}
	safeFirstToken := time.Duration(float64(p.FirstToken) * p.Spread)
	bestFirstToken := time.Duration(float64(p.FirstToken) * bestCaseFactor)
	return earlier(safe, firstTokenBy.Add(-safeFirstToken)), earlier(best, firstTokenBy.Add(-bestFirstToken))
}

// prefillOn returns the prefill of a request on a target with a full batch, as an
// input for the estimates. The expected cached prefix is not part of it.
func (g *Group) prefillOn(now time.Time, r *Request, t *target) estimate.Job {
	cached := min(t.prefixIndex.ExpectedCachedTokens(now, r.Prefix), max(r.PromptTokens-1, 0))
	return estimate.Job{
		Version:       r.Version,
		Hardware:      t.info.Hardware,
		PrefillTokens: r.PromptTokens - cached,
		Batch:         max(t.info.Slots, 1),
		Plain:         r.Plain,
	}
}

// latestStart returns the latest time at which a request may start on some target
// of a mask to be in time almost certainly. With an empty mask it is the deadline.
func (g *Group) latestStart(now time.Time, j *job, mask uint64) time.Time {
	latest := time.Time{}
	for _, t := range g.targets {
		if t.bit&mask == 0 {
			continue
		}
		if safe, _ := g.latestStartOn(now, j, t); safe.After(latest) {
			latest = safe
		}
	}
	if latest.IsZero() {
		return j.request.Deadline
	}
	return latest
}

// onTimeChance says how likely it is that a waiting request ends in time if it
// starts now.
type onTimeChance int

const (
	likelyOnTime   onTimeChance = iota // almost certain on some target
	possiblyOnTime                     // only in the best case
	certainlyLate                      // late even in the best case
)

// feasibleClass returns the class of a request for a start now or later, and its
// chance to end in time. Targets on which it would be late even in the best case are
// left out, and those on which it may be late are in Possible only. When it may be
// late on all targets, the possible ones are in Suitable too; when it would certainly
// be late on all, the class is that of permittedClass.
func (g *Group) feasibleClass(now time.Time, j *job) (admission.Class, onTimeChance) {
	class := g.permittedClass(&j.request)
	up, safeTargets, possibleTargets := uint64(0), uint64(0), uint64(0)
	for _, t := range g.targets {
		if t.state == TargetUp {
			up |= t.bit
		}
		if t.bit&class.Suitable == 0 {
			continue
		}
		safe, best := g.latestStartOn(now, j, t)
		if !now.After(safe) {
			safeTargets |= t.bit
		}
		if !now.After(best) {
			possibleTargets |= t.bit
		}
	}
	if possibleTargets&up == 0 {
		return class, certainlyLate
	}
	class.Suitable, class.Possible = safeTargets, possibleTargets
	if safeTargets&up == 0 {
		class.Suitable = possibleTargets
		return class, possiblyOnTime
	}
	if j.cacheTarget != nil && j.cacheTarget.bit&safeTargets&up != 0 {
		// Other targets would prefill the whole prompt again, so they are only
		// possible ones and serve the others of the tier first.
		class.Suitable = j.cacheTarget.bit
	}
	return class, likelyOnTime
}

// promptFits reports whether the prompt fits into the KV cache of some usable target.
func (g *Group) promptFits(r *Request, usable uint64) bool {
	for _, t := range g.targets {
		if t.bit&usable != 0 && (t.info.KVTokens == 0 || r.PromptTokens <= t.info.KVTokens) {
			return true
		}
	}
	return false
}

// tooLateWhenIdle reports whether the request would be late on each usable target
// even if the target were idle. It returns false while the estimates are not
// confident, and when nothing runs in the group: the request is then tried anyway,
// since an estimate that is too slow would otherwise never be corrected.
func (g *Group) tooLateWhenIdle(now time.Time, j *job, usable uint64) bool {
	if !g.confident(j) || g.idle() {
		return false
	}
	for _, t := range g.targets {
		if t.bit&usable == 0 {
			continue
		}
		cached := t.prefixIndex.ExpectedCachedTokens(now, j.request.Prefix)
		p := g.options.Model.Predict(estimate.Job{
			Version:       j.request.Version,
			Hardware:      t.info.Hardware,
			PrefillTokens: j.request.PromptTokens - cached,
			OutputTokens:  j.request.OutputTokens,
			Batch:         1,
			Plain:         j.request.Plain,
		})
		firstTokenBy := j.request.FirstTokenBy
		firstLate := !firstTokenBy.IsZero() && now.Add(p.FirstToken).After(firstTokenBy)
		if !firstLate && !now.Add(p.Finish).After(j.request.Deadline) {
			return false
		}
	}
	return true
}

// idle reports whether nothing runs on the targets of the group.
func (g *Group) idle() bool {
	for _, t := range g.targets {
		if len(t.running) > 0 {
			return false
		}
	}
	return true
}

// confident reports whether enough was observed, on all targets that suit a request,
// to refuse it on a prediction.
func (g *Group) confident(j *job) bool {
	for _, t := range g.targets {
		if t.bit&j.item.Class.Suitable != 0 && !g.options.Model.Confident(j.request.Version, t.info.Hardware) {
			return false
		}
	}
	return true
}

// predictWait returns the predicted time until a new request gets a target, as
// computed from the queue and corrected by the errors of earlier predictions for the
// same tier and a similar amount of work.
func (g *Group) predictWait(now time.Time, j *job, usable uint64) (uncorrected, corrected time.Duration) {
	uncorrected = g.queueWait(now, j, usable)
	return uncorrected, time.Duration(float64(uncorrected) * g.waitRatio(j).Value())
}

// observeWait corrects the wait ratio with the wait of a request that is being
// granted or refused. Predicted waits below minWaitSample are skipped, because they
// say little about the queue.
func (g *Group) observeWait(now time.Time, j *job) {
	const minWaitSample = 100 * time.Millisecond
	if j.predictedWait >= minWaitSample {
		g.waitRatio(j).Observe(j.predictedWait.Seconds(), now.Sub(j.item.Arrived).Seconds())
		j.predictedWait = 0
	}
}

// waitRatio returns the correction of predicted waits for requests like j.
func (g *Group) waitRatio(j *job) *estimate.Ratio {
	return &g.waitRatios[j.request.Tier][admission.WorkBucket(j.item.Work)]
}

// queueWait predicts the wait of a request from the work ahead of it and the speed
// of the usable targets, and from the limits of cold targets, without correction. It is 0
// when nothing is ahead and a usable target is free.
func (g *Group) queueWait(now time.Time, j *job, usable uint64) time.Duration {
	ahead := g.queue.WorkAhead(j.request.Tier, j.request.Account, j.item.Class, j.item.Work)
	if free, _ := g.freeTargets(now); ahead == 0 && free&usable != 0 {
		return 0
	}
	return max(g.timeToServe(ahead+g.meanWork, usable), g.coldWait(now, g.queue.CountUpTo(j.request.Tier), usable))
}

// timeToServe returns the time in which the targets of a mask that are up complete
// an amount of work, with all slots in use; 0 when none of them is up.
func (g *Group) timeToServe(work time.Duration, mask uint64) time.Duration {
	rate := 0.0
	for _, t := range g.targets {
		if t.bit&mask != 0 && t.state == TargetUp {
			rate += float64(t.info.Slots) * t.speed
		}
	}
	if rate == 0 || work <= 0 {
		return 0
	}
	return time.Duration(float64(work) / rate)
}

// observeReport corrects the estimates with the report of a released request. A
// request that was ended early counts for the spread of its times only, and only if
// it had taken longer than predicted.
func (g *Group) observeReport(now time.Time, j *job, report Report) {
	hardware := j.target.info.Hardware
	predicted, actual := j.finish.Sub(j.granted), now.Sub(j.granted)
	if report.Outcome == OutcomeDone || (endedEarly(report.Outcome) && actual > predicted) {
		g.options.Model.ObserveSpread(j.request.Version, hardware, predicted, actual)
	}
	if report.Outcome != OutcomeDone || report.Duration <= 0 {
		return
	}
	version := report.Version
	if version == "" {
		version = j.request.Version
	}
	g.options.Model.Observe(estimate.Observation{
		Job: estimate.Job{
			Version:       version,
			Hardware:      hardware,
			PrefillTokens: max(report.PromptTokens-report.CachedTokens, 0),
			OutputTokens:  report.OutputTokens,
			Batch:         min((j.batchAtGrant+len(j.target.running)+1)/2, max(j.target.info.Slots, 1)),
			Plain:         j.request.Plain,
		},
		Queued:      j.inBacklog,
		TokensAhead: j.tokensAhead,
		FirstToken:  g.prefillDuration(j, report.FirstToken),
		MinPrefill:  minPrefillForRate(&j.request),
		Duration:    report.Duration,
	})
}

// endedEarly reports whether a request was ended before its answer was complete
// while its target still worked on it.
func endedEarly(o Outcome) bool {
	return o == OutcomeCanceled || o == OutcomeTimeout
}
