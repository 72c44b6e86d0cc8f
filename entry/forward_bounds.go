package entry

import (
	"time"
)

const (
	// minFirstWait and firstWaitPerToken bound the wait for the first byte of a
	// repeatable stream. The slowest engines prefill about 20 tokens a millisecond,
	// behind up to a second of work of others.
	minFirstWait      = time.Second
	firstWaitPerToken = 50 * time.Microsecond
	// doubtShare is the part of such a wait after which a target is checked.
	doubtShare = 0.5
	// eventGapWait bounds the pause between events of a resumable stream. Prefill of
	// others pauses a stream for up to half a second, callers leave after two.
	eventGapWait = 1500 * time.Millisecond
	// safeCallWait bounds one attempt of a safe call that may run elsewhere. It is
	// above the longest usual call of plain services.
	safeCallWait = 800 * time.Millisecond
	// maxAnswerBytes bounds an answer that is held until it is whole.
	maxAnswerBytes = 8 << 20
	// maxUnnumberedBytes bounds comments and other events without a number in a row. A
	// target in trouble may send them without end, and a caller would take them for
	// progress.
	maxUnnumberedBytes = 64 << 10
)

const (
	// leaveMargin is the time before a caller leaves in which its refusal is sent.
	leaveMargin = 150 * time.Millisecond
	// queueShare is the part of its time that a request may wait in the queue; the
	// rest is for its answer, or for its caller to try elsewhere.
	queueShare = 0.5
	// returnedWait bounds the wait of a caller that was sent away before. Those still
	// in time go first, so that a longer wait in an overload is in vain.
	returnedWait = 700 * time.Millisecond
)

const (
	// returnShare is the part of a caller's time after which it is told to come back at
	// the latest: the rest is for its turn and its answer.
	returnShare = 1.0 / 3
	// returnSpread is the part by which advice is shortened at random, so that callers
	// who were sent away together do not come back together.
	returnSpread = 0.25
)

// returnAfter bounds and spreads the advice to a caller with some time left; random is
// between 0 and 1.
func returnAfter(advice, left time.Duration, random float64) time.Duration {
	advice = min(advice, time.Duration(returnShare*float64(left)))
	return max(0, advice-time.Duration(returnSpread*random*float64(advice)))
}

// Callers leave a stream that has brought nothing for the longest of these times.
const (
	minPatience       = 2 * time.Second
	objectivePatience = 4
	gapPatience       = 8
)

// firstEventBy is the time by which a stream has to begin: shortly before its caller
// leaves, and while enough time is left for the answer. Zero is no bound.
func (f *forward) firstEventBy() time.Time {
	r := f.request
	if !r.Ingress.Stream || f.started {
		return time.Time{}
	}
	patience := max(minPatience, objectivePatience*r.Ingress.Objective, gapPatience*r.Ingress.MaxGap)
	half := time.Duration(queueShare * float64(r.Deadline.Sub(r.Arrived)))
	if r.CallerRetry {
		half = min(half, returnedWait)
	}
	return earliest(r.Arrived.Add(half), r.Arrived.Add(patience-leaveMargin))
}

// objectiveBy is the time after which the answer is late; zero is no bound, for a
// caller whose objective has passed already.
func (f *forward) objectiveBy() time.Time {
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
func (f *forward) firstByteBy(started time.Time) time.Time {
	r := f.request
	switch {
	case !r.repeatable() || len(f.ran)+1 >= r.Ingress.Attempts:
		return r.Deadline
	case r.Ingress.Stream:
		wait := minFirstWait + time.Duration(r.PromptTokens)*firstWaitPerToken
		return earliest(r.Deadline, started.Add(wait))
	}
	return earliest(r.Deadline, started.Add(safeCallWait))
}

// doubtAfter is the time without a first byte after which a target is checked.
func (f *forward) doubtAfter() time.Duration {
	wait := minFirstWait + time.Duration(f.request.PromptTokens)*firstWaitPerToken
	return time.Duration(doubtShare * float64(wait))
}
