package entry

import (
	"time"
)

const (
	// minFirstByteWait and firstByteWaitPerToken bound the wait for the first byte of a
	// repeatable stream. The slowest engines prefill about 20 tokens a millisecond,
	// behind up to a second of work of others.
	minFirstByteWait      = time.Second
	firstByteWaitPerToken = 50 * time.Microsecond
	// unresponsiveShare is the part of such a wait after which a target is checked.
	unresponsiveShare = 0.5
	// maxEventGap bounds the pause between events of a resumable stream. Prefill of
	// others pauses a stream for up to half a second, callers leave after two.
	maxEventGap = 1500 * time.Millisecond
	// safeCallTimeout bounds one attempt of a safe call that may run elsewhere. It is
	// above the longest usual call of plain services.
	safeCallTimeout = 800 * time.Millisecond
	// maxAnswerBytes bounds an answer that is held until it is whole.
	maxAnswerBytes = 8 << 20
	// maxUnnumberedBytes bounds comments and other events without a number in a row. A
	// target in trouble may send them without end, and a caller would take them for
	// progress.
	maxUnnumberedBytes = 64 << 10
)

const (
	// refusalMargin is the time before a caller leaves in which its refusal is sent.
	refusalMargin = 150 * time.Millisecond
	// maxQueueTimeShare is the part of its time that a request may wait in the queue; the
	// rest is for its answer, or for its caller to try elsewhere.
	maxQueueTimeShare = 0.5
	// maxCallerRetryQueueTime bounds the wait of a caller that was sent away before. Those still
	// in time go first, so that a longer wait in an overload is in vain.
	maxCallerRetryQueueTime = 700 * time.Millisecond
)

const (
	// maxRetryAfterShare is the part of a caller's time after which it is told to come back at
	// the latest: the rest is for its turn and its answer.
	maxRetryAfterShare = 1.0 / 3
	// retryAfterJitter is the part by which advice is shortened at random, so that callers
	// who were sent away together do not come back together.
	retryAfterJitter = 0.25
)

// boundRetryAfter bounds and spreads the advice to a caller with some time left; random is
// between 0 and 1.
func boundRetryAfter(retryAfter, timeLeft time.Duration, random float64) time.Duration {
	retryAfter = min(retryAfter, time.Duration(maxRetryAfterShare*float64(timeLeft)))
	return max(0, retryAfter-time.Duration(retryAfterJitter*random*float64(retryAfter)))
}

// Callers leave a stream that has brought nothing for the longest of these times.
const (
	minAbandonTime         = 2 * time.Second
	abandonObjectiveFactor = 4
	abandonGapFactor       = 8
)

// firstEventBy is the time by which a stream has to begin: shortly before its caller
// leaves, and while enough time is left for the answer. Zero is no bound.
func (f *forwardRun) firstEventBy() time.Time {
	r := f.request
	if !r.Ingress.Stream || f.answerStarted {
		return time.Time{}
	}
	abandonTime := max(minAbandonTime, abandonObjectiveFactor*r.Ingress.Objective, abandonGapFactor*r.Ingress.MaxGap)
	maxQueueTime := time.Duration(maxQueueTimeShare * float64(r.Deadline.Sub(r.Arrived)))
	if r.CallerRetry {
		maxQueueTime = min(maxQueueTime, maxCallerRetryQueueTime)
	}
	return earliest(r.Arrived.Add(maxQueueTime), r.Arrived.Add(abandonTime-refusalMargin))
}

// objectiveBy is the time after which the answer is late; zero is no bound, for a
// caller whose objective has passed already.
func (f *forwardRun) objectiveBy() time.Time {
	r := f.request
	if r.Ingress.Objective == 0 || r.CallerRetry {
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

// firstByteBy is the time until which the head of an answer is waited for. A
// request that must not run again has no more to gain elsewhere and waits to its
// end.
func (f *forwardRun) firstByteBy(started time.Time) time.Time {
	r := f.request
	switch {
	case !r.repeatable() || len(f.mayHaveRunOn)+1 >= r.Ingress.Attempts:
		return r.Deadline
	case r.Ingress.Stream:
		wait := minFirstByteWait + time.Duration(r.PromptTokens)*firstByteWaitPerToken
		return earliest(r.Deadline, started.Add(wait))
	}
	return earliest(r.Deadline, started.Add(safeCallTimeout))
}

// unresponsiveAfter is the time without a first byte after which a target is checked.
func (f *forwardRun) unresponsiveAfter() time.Duration {
	wait := minFirstByteWait + time.Duration(f.request.PromptTokens)*firstByteWaitPerToken
	return time.Duration(unresponsiveShare * float64(wait))
}
