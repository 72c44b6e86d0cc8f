package entry

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/marjoramflow/marjoramflow/attempt"
	"github.com/marjoramflow/marjoramflow/eventstream"
	"github.com/marjoramflow/marjoramflow/object"
)

var (
	errTargetRefused = errors.New("the target did not run the request")
	errTargetFailed  = errors.New("the target answered with a failure")
	errEmptyStream   = errors.New("the stream ended with its connection before the first event")
	errNoEvents      = errors.New("the stream carries bytes without a numbered event")
)

// relayStream sends complete events to the caller as they arrive.
func (f *forwardRun) relayStream(reply *Reply, target string, report *Report, started time.Time, unresponsiveTimer *time.Timer) error {
	memory := f.runner.AnswerMemory.NewAllocation()
	defer memory.Release()
	events := eventstream.NewReader(reply.Body, memory.Grow)
	sequence := newEventSequence(f.lastEvent, f.lastEventSum)
	unnumbered, received := 0, 0
	reply.Body.SetReadDeadline(f.firstByteBy(started))
	for {
		event, err := events.Next()
		if err == io.EOF && received == 0 && f.lastEvent == NoEvent && !reply.Delimited {
			return attemptError(attempt.Cut, target, reply.Status, errEmptyStream)
		}
		if err == io.EOF {
			err = sequence.end()
			if err == nil {
				return f.endStream(reply, target)
			}
		}
		if err != nil {
			return attemptError(readFailureKind(context.Background(), err), target, reply.Status, err)
		}
		if unnumbered = countUnnumbered(unnumbered, event); unnumbered > maxUnnumberedBytes {
			return attemptError(attempt.Cut, target, reply.Status, errNoEvents)
		}
		if report.FirstToken == 0 {
			report.FirstToken = time.Since(started)
			unresponsiveTimer.Stop()
		}
		if err := f.sendEvent(reply, target, sequence, event); err != nil {
			return err
		}
		if received++; received == begunEvents {
			f.reportBegun()
		}
		reply.Body.SetReadDeadline(f.nextEventBy())
	}
}

// countUnnumbered returns the number of bytes since the last event with a number, given the
// count before event.
func countUnnumbered(count int, event eventstream.Event) int {
	if event.HasID {
		return 0
	}
	return count + len(event.Raw)
}

// endStream ends an answer. For a stream without any event, it starts the sink with the
// head of the reply.
func (f *forwardRun) endStream(reply *Reply, target string) error {
	f.runner.Quarantine.RequestFinished(f.request.Fingerprint)
	f.reportBegun()
	f.reportFinished(target)
	if f.answerStarted {
		return nil
	}
	if err := f.sink.Start(reply.Status, reply.Header, reply.Length); err != nil {
		return f.callerDisconnected(err)
	}
	f.answerStarted = true
	return nil
}

// sendEvent sends one event to the caller, unless the caller already has it. An event whose
// number does not follow that of the one before it is an error, since it shows that an event
// is missing or that a number is wrong. So is an event without a number, other than a comment,
// of a target that continues a stream: it does not show that it belongs there.
func (f *forwardRun) sendEvent(reply *Reply, target string, sequence *eventSequence, event eventstream.Event) error {
	if event.HasID {
		repeated, err := sequence.accept(event)
		if err != nil {
			f.positionUnknown = f.positionUnknown || sequence.startUnknown(event)
			return attemptError(attempt.Cut, target, reply.Status, err)
		}
		if repeated {
			return nil
		}
	}
	if !event.HasID && !event.Comment && f.continues() {
		return attemptError(attempt.Cut, target, reply.Status, errNotContinued)
	}
	if sequence.inNumberedPart(event) {
		// Another target would send the event again.
		f.positionUnknown = true
	}
	if !f.answerStarted {
		if err := f.sink.Start(reply.Status, reply.Header, f.streamLength(reply)); err != nil {
			return f.callerDisconnected(err)
		}
		f.answerStarted, f.startedIn = true, f.attempts
	}
	if err := f.sink.Write(event.Raw); err != nil {
		return f.callerDisconnected(err)
	}
	f.recordEventSent()
	if event.HasID {
		f.lastEvent, f.lastEventSum = event.ID, eventSum(event)
	}
	return nil
}

// unknownLength is the length of an answer that does not state it.
const unknownLength = -1

// streamLength returns the length that the caller is told. That of the target's answer does not
// hold if events are left out or another target continues the stream.
func (f *forwardRun) streamLength(reply *Reply) int64 {
	if f.request.Ingress.Repeat == object.RepeatResume || f.request.ResumeAfter != NoEvent {
		return unknownLength
	}
	return reply.Length
}

// continues reports whether this attempt continues a stream that an earlier one began.
func (f *forwardRun) continues() bool {
	return f.answerStarted && f.startedIn != f.attempts
}

// recordEventSent records that an event was sent to the caller, and the pause before it.
func (f *forwardRun) recordEventSent() {
	now := time.Now()
	if f.eventsSent > 0 {
		f.trace.MaxGap = max(f.trace.MaxGap, now.Sub(f.lastEventAt))
	}
	f.lastEventAt = now
	f.eventsSent++
}

// nextEventBy returns the time by which the next event must arrive. A stream that cannot be
// resumed on another target may pause until its deadline, since ending it sooner gains
// nothing. So may a stream of a daemon that stops, which may have no time for another target.
func (f *forwardRun) nextEventBy() time.Time {
	r := f.request
	if f.stopping() || r.Ingress.Repeat != object.RepeatResume || len(f.mayHaveRunOn)+1 >= r.Ingress.Attempts {
		return r.Deadline
	}
	return earliest(r.Deadline, time.Now().Add(maxEventGap))
}
