package entry

import (
	"time"
)

const (
	// The wait for the first byte of a repeatable stream is bounded by minFirstByteWait
	// plus firstByteWaitPerToken for each prompt token. The slowest engines prefill
	// about 20 tokens per millisecond, after up to one second of work for other requests.
	minFirstByteWait      = time.Second
	firstByteWaitPerToken = 50 * time.Microsecond
	// unresponsiveShare is the share of that wait after which the target is reported to its
	// owner as unresponsive, so that the owner checks it.
	unresponsiveShare = 0.5
	// maxEventGap bounds the pause between events of a resumable stream. Prefill of other
	// requests pauses a stream for up to half a second; callers disconnect after two
	// seconds.
	maxEventGap = 1500 * time.Millisecond
	// safeCallTimeout bounds one attempt of a repeatable call that may still run on
	// another target. It is longer than the longest usual call of plain services.
	safeCallTimeout = 800 * time.Millisecond
	// maxAnswerBytes bounds an answer that is buffered until it is complete.
	maxAnswerBytes = 8 << 20
	// maxUnnumberedBytes bounds consecutive comments and other events without a number.
	// A faulty target may send them endlessly, and a caller would mistake them for
	// progress.
	maxUnnumberedBytes = 64 << 10
)

const (
	// refusalMargin is the time between the end of the wait in the queue and the moment at
	// which the caller is expected to disconnect, so that a refusal still reaches it.
	refusalMargin = 150 * time.Millisecond
	// maxQueueTimeShare is the share of its time that a request may wait in the queue; the
	// rest is for its answer, or for the caller to try elsewhere.
	maxQueueTimeShare = 0.5
)

const (
	// maxRetryAfterShare bounds Retry-After to a share of the caller's remaining time; the
	// rest is for the queue time and the answer of the retry.
	maxRetryAfterShare = 1.0 / 3
	// retryAfterJitter is the largest share by which Retry-After is shortened at random,
	// so that callers that were shed together do not retry together.
	retryAfterJitter = 0.25
)

// boundRetryAfter bounds Retry-After by the caller's remaining time and applies the
// jitter; random is between 0 and 1.
func boundRetryAfter(retryAfter, timeLeft time.Duration, random float64) time.Duration {
	retryAfter = min(retryAfter, time.Duration(maxRetryAfterShare*float64(timeLeft)))
	return max(0, retryAfter-time.Duration(retryAfterJitter*random*float64(retryAfter)))
}

// Callers are expected to disconnect from a stream without any event after the longest of
// minAbandonTime, abandonObjectiveFactor times the objective of the ingress, and
// abandonGapFactor times its MaxGap.
const (
	minAbandonTime         = 2 * time.Second
	abandonObjectiveFactor = 4
	abandonGapFactor       = 8
)

// firstEventBy returns the time by which a stream has to begin: shortly before its caller
// is expected to disconnect, and while enough time is left for the answer. Zero means no
// bound.
func (f *forwardRun) firstEventBy() time.Time {
	r := f.request
	if !r.Ingress.Stream || f.answerStarted {
		return time.Time{}
	}
	abandonTime := max(minAbandonTime, abandonObjectiveFactor*r.Ingress.Objective, abandonGapFactor*r.Ingress.MaxGap)
	maxQueueTime := time.Duration(maxQueueTimeShare * float64(r.Deadline.Sub(r.Arrived)))
	return earliest(r.Arrived.Add(maxQueueTime), r.Arrived.Add(abandonTime-refusalMargin))
}

// objectiveBy returns the time after which the answer misses its objective. Zero means no
// bound.
func (f *forwardRun) objectiveBy() time.Time {
	r := f.request
	if r.Ingress.Objective == 0 {
		return time.Time{}
	}
	return r.Arrived.Add(r.Ingress.Objective)
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// firstByteBy returns the time by which the head of an answer, and for a buffered answer its
// body, must arrive. A request that may not run on another target waits until its
// deadline, since ending the attempt sooner gains nothing. So does one of a daemon that stops.
func (f *forwardRun) firstByteBy(started time.Time) time.Time {
	r := f.request
	switch {
	case f.stopping() || !r.repeatable() || len(f.mayHaveRunOn)+1 >= r.Ingress.Attempts:
		return r.Deadline
	case r.Ingress.Stream:
		wait := minFirstByteWait + time.Duration(r.PromptTokens)*firstByteWaitPerToken
		return earliest(r.Deadline, started.Add(wait))
	}
	return earliest(r.Deadline, started.Add(safeCallTimeout))
}

// unresponsiveAfter returns the time without a first byte after which a target is reported
// as unresponsive.
func (f *forwardRun) unresponsiveAfter() time.Duration {
	wait := minFirstByteWait + time.Duration(f.request.PromptTokens)*firstByteWaitPerToken
	return time.Duration(unresponsiveShare * float64(wait))
}
